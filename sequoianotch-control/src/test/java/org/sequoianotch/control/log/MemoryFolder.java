package org.sequoianotch.control.log;

import java.util.Arrays;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;

/** In-memory storage folder that simulates a power loss during a write. */
public final class MemoryFolder implements StorageFolder {
    private static final Interruption COMPLETE = Interruption.ofFraction(1);

    private final Map<String, byte[]> files = new TreeMap<>();
    private int writesUntilPowerLoss = Integer.MAX_VALUE;
    private Interruption interruption = Interruption.ofFraction(0);

    /** What becomes of a file if the power is lost during a write. */
    private interface Interruption {
        byte[] content(byte[] previous, int offset, byte[] written);

        /** Returns whether a rename, a removal or a change of a length takes effect. */
        boolean keepsName();

        static Interruption ofFraction(double fraction) {
            return new Interruption() {
                @Override
                public byte[] content(byte[] previous, int offset, byte[] written) {
                    int keptBytes = (int) (written.length * fraction);
                    byte[] content = Arrays.copyOf(previous, Math.max(previous.length, offset + keptBytes));
                    System.arraycopy(written, 0, content, offset, keptBytes);
                    return content;
                }

                @Override
                public boolean keepsName() {
                    return false;
                }
            };
        }

        static Interruption ofDisk(Random random) {
            return new Interruption() {
                @Override
                public byte[] content(byte[] previous, int offset, byte[] written) {
                    UnsyncedWrite[] outcomes = UnsyncedWrite.values();
                    return outcomes[random.nextInt(outcomes.length)].contentAfterPowerLoss(
                            previous, offset, written, random);
                }

                @Override
                public boolean keepsName() {
                    return random.nextBoolean();
                }
            };
        }
    }

    /** Returns a folder with a copy of the files. */
    public MemoryFolder copy() {
        MemoryFolder copy = new MemoryFolder();
        copy.files.putAll(files);
        return copy;
    }

    /** Makes a later write, and all writes after it, fail; an append first stores the given fraction of its bytes. */
    public void losePower(int afterWrites, double fraction) {
        writesUntilPowerLoss = afterWrites;
        interruption = Interruption.ofFraction(fraction);
    }

    /** Makes a later write, and all writes after it, fail; what was not synced is kept, lost or torn. */
    public void losePower(int afterWrites, Random random) {
        writesUntilPowerLoss = afterWrites;
        interruption = Interruption.ofDisk(random);
    }

    /** Makes writes succeed again. */
    public void restorePower() {
        writesUntilPowerLoss = Integer.MAX_VALUE;
    }

    byte[] file(String name) {
        return files.get(name);
    }

    void put(String name, byte[] content) {
        files.put(name, content);
    }

    void delete(String name) {
        files.remove(name);
    }

    @Override
    public Optional<byte[]> read(String name) {
        return Optional.ofNullable(files.get(name)).map(byte[]::clone);
    }

    @Override
    public void replace(String name, byte[] content) {
        boolean lost = isPowerLost();
        if (!lost || isInterrupted() && interruption.keepsName()) {
            files.put(name, content.clone());
        }
        failIfLost(lost, name);
    }

    @Override
    public void append(String name, long offset, byte[] content, byte[] mark) {
        boolean lost = isPowerLost();
        byte[] previous = files.get(name);
        if (!lost) {
            files.put(name, COMPLETE.content(previous, (int) offset, content));
            writeMark(name, offset + content.length, mark);
        } else if (isInterrupted()) {
            files.put(name, interruption.content(previous, (int) offset, content));
        }
        failIfLost(lost, name);
    }

    @Override
    public void truncate(String name, long lengthBytes, byte[] mark) {
        boolean lost = isPowerLost();
        if (!lost || isInterrupted() && interruption.keepsName()) {
            files.put(name, Arrays.copyOf(files.get(name), (int) lengthBytes));
        }
        if (!lost) {
            writeMark(name, lengthBytes, mark);
        }
        failIfLost(lost, name);
    }

    /** The mark is not synced, so that a power loss at the next write may take or tear it as well. */
    private void writeMark(String name, long offset, byte[] mark) {
        Interruption applied = writesUntilPowerLoss == 0 ? interruption : COMPLETE;
        files.put(name, applied.content(files.get(name), (int) offset, mark));
    }

    private boolean isPowerLost() {
        if (writesUntilPowerLoss == Integer.MAX_VALUE) {
            return false;
        }
        writesUntilPowerLoss--;
        return writesUntilPowerLoss < 0;
    }

    /** Returns whether the power was lost during the current write, and not before it. */
    private boolean isInterrupted() {
        return writesUntilPowerLoss == -1;
    }

    private static void failIfLost(boolean lost, String name) {
        if (lost) {
            throw new StorageException("the file " + name + " cannot be synced");
        }
    }

    @Override
    public void remove(String name) {
        files.remove(name);
    }

    @Override
    public String location() {
        return "memory";
    }

    @Override
    public void close() {}
}

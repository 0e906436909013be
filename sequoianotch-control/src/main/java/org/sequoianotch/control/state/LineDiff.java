package org.sequoianotch.control.state;

import java.util.ArrayList;
import java.util.List;

/** Line diff of two template texts. Removed lines start with "- ", added lines with "+ ". This class is stateless. */
public final class LineDiff {
    /** Limits the table of subsequence lengths to 4 million cells, which are 16 MiB. */
    private static final int MAX_COMPARED_LINES = 2_000;

    private LineDiff() {}

    /**
     * Compares two texts by their longest common subsequence of lines.
     *
     * @param from the old text; not null
     * @param to the new text; not null
     * @param maxLines maximum number of differing lines to return; if there are more, one line with the number of
     *     omitted lines is appended; not negative
     * @return the differing lines, or empty if the texts are equal; never null
     */
    public static List<String> between(String from, String to, int maxLines) {
        List<String> before = from.lines().toList();
        List<String> after = to.lines().toList();
        if (before.size() > MAX_COMPARED_LINES || after.size() > MAX_COMPARED_LINES) {
            return List.of("The templates have more than " + MAX_COMPARED_LINES + " lines and are not compared.");
        }
        List<String> differences = differences(before, after);
        if (differences.size() <= maxLines) {
            return differences;
        }
        List<String> shortened = new ArrayList<>(differences.subList(0, maxLines));
        shortened.add("... and " + (differences.size() - maxLines) + " more lines");
        return shortened;
    }

    private static List<String> differences(List<String> before, List<String> after) {
        int[][] common = commonLengths(before, after);
        List<String> result = new ArrayList<>();
        int i = 0;
        int j = 0;
        while (i < before.size() || j < after.size()) {
            if (i < before.size() && j < after.size() && before.get(i).equals(after.get(j))) {
                i++;
                j++;
            } else if (j == after.size() || (i < before.size() && common[i + 1][j] >= common[i][j + 1])) {
                result.add("- " + before.get(i++));
            } else {
                result.add("+ " + after.get(j++));
            }
        }
        return result;
    }

    /** Returns for each pair of positions the length of the longest common subsequence of the remaining lines. */
    private static int[][] commonLengths(List<String> before, List<String> after) {
        int[][] lengths = new int[before.size() + 1][after.size() + 1];
        for (int i = before.size() - 1; i >= 0; i--) {
            for (int j = after.size() - 1; j >= 0; j--) {
                lengths[i][j] = before.get(i).equals(after.get(j))
                        ? lengths[i + 1][j + 1] + 1
                        : Math.max(lengths[i + 1][j], lengths[i][j + 1]);
            }
        }
        return lengths;
    }
}

package org.sequoianotch.task;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against background work that ends unnoticed after one unexpected exception, or repeats it without a pause. */
@Timeout(30)
final class TaskThreadsTest {
    @ParameterizedTest
    @ValueSource(classes = {IllegalStateException.class, StackOverflowError.class, OutOfMemoryError.class})
    void loopContinuesAfterAStepThatThrows(Class<? extends Throwable> thrown) throws InterruptedException {
        AtomicInteger steps = new AtomicInteger();
        CountDownLatch continued = new CountDownLatch(3);
        Thread loop = TaskThreads.startLoop("test", () -> steps.get() < 4, 1, () -> {
            if (steps.incrementAndGet() == 1) {
                throwUnchecked(thrown);
            }
            continued.countDown();
        });

        assertThat(continued.await(10, TimeUnit.SECONDS)).isTrue();
        loop.join();
        assertThat(steps.get()).isEqualTo(4);
    }

    private static void throwUnchecked(Class<? extends Throwable> thrown) {
        try {
            Throwable instance = thrown.getDeclaredConstructor().newInstance();
            if (instance instanceof Error error) {
                throw error;
            }
            throw (RuntimeException) instance;
        } catch (ReflectiveOperationException e) {
            throw new AssertionError(e);
        }
    }

    @Test
    void loopPausesAfterEachStepThatThrows() throws InterruptedException {
        AtomicInteger steps = new AtomicInteger();
        Thread loop = TaskThreads.startLoop("test", () -> true, 1_000, () -> {
            steps.incrementAndGet();
            throw new IllegalStateException("each time");
        });
        Thread.sleep(100);
        loop.interrupt();
        loop.join();

        assertThat(steps.get()).isEqualTo(1);
    }
}

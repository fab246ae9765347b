package starlingvalve.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

/** Tests the format of the event log's lines, and its limits on their number. */
class EventLogTest {
    private final AtomicLong nanoTime = new AtomicLong();
    private final List<String> written = new ArrayList<>();
    private final EventLog log = new EventLog(nanoTime::get, written::add);

    private List<String> lines() {
        log.flush();
        List<String> lines = String.join("", written).lines()
                .map(line -> line.substring(line.indexOf(' ') + 1)).toList();
        written.clear();
        return lines;
    }

    @Test
    void lineContainsEventNameAndFields() {
        log.add("refused", "id", "9b1f", "wait_ms", 250, "reason", "no room");
        assertEquals(List.of("event=refused id=9b1f wait_ms=250 reason=\"no room\""), lines());
    }

    @Test
    void specialCharactersInValuesAreReplacedAndQuoted() {
        log.add("refused", "id", "a\nb\"c\u00e9", "reason", "");
        assertEquals(List.of("event=refused id=\"a?b'c?\" reason=\"\""), lines());
    }

    /** Guards against a full heap: lines that wait for a blocked standard error hold what peers have sent. */
    @Test
    void longValuesAreCutOff() {
        log.add("refused", "id", "x".repeat(8000), "reason", "no room");
        assertEquals(List.of("event=refused id=" + "x".repeat(EventLog.MAX_VALUE_LENGTH) + " reason=\"no room\""),
                lines());
    }

    @Test
    void linesAboveRateLimitAreDroppedAndTheirNumberIsLogged() {
        for (int i = 0; i < EventLog.MAX_BURST + 7; i++) {
            log.add("retry", "n", i);
        }
        List<String> burst = lines();
        assertEquals(EventLog.MAX_BURST, burst.size());
        assertEquals("event=retry n=" + (EventLog.MAX_BURST - 1), burst.get(burst.size() - 1));
        nanoTime.addAndGet(TimeUnit.SECONDS.toNanos(1));
        log.add("retry", "n", "later");
        assertEquals(List.of("event=lines-left-out count=7", "event=retry n=later"), lines());
    }

    @Test
    void linesThatDoNotFitInTheQueueAreDroppedAndCounted() {
        int added = 0;
        while (added < 3000) {
            for (int i = 0; i < EventLog.MAX_BURST; i++, added++) {
                log.add("retry", "n", added);
            }
            nanoTime.addAndGet(TimeUnit.SECONDS.toNanos(EventLog.MAX_BURST / EventLog.LINES_PER_SECOND));
        }
        int kept = lines().size();
        assertTrue(kept < added, "the queue is bounded");
        log.add("retry", "n", "later");
        assertEquals("event=lines-left-out count=" + (added - kept), lines().get(0));
    }
}

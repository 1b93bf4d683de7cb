package cinderhollow.ledger;

import java.util.List;
import org.HdrHistogram.Histogram;

/**
 * All that one ledger had at one moment.
 *
 * @param lines one for each account and place that anything was counted at
 * @param times one for each account that an answer was measured for
 * @param breaches those not acknowledged
 * @param earlier what the lives before this one come to
 * @param lost entries of the journal that never reached its disk
 */
public record Figures(List<Line> lines, List<Times> times, long breaches, List<Life> earlier, long lost) {
    /**
     * One account at one place.
     *
     * @param ended by the place's ends, in their order
     */
    public record Line(String account, Place place, long opened, List<Long> ended, long open) {
        /** Keeps a copy. */
        public Line {
            ended = List.copyOf(ended);
        }
    }

    /** How long requests of an account took until their end, in microseconds. */
    public record Times(String account, Histogram micros) { }

    /** Keeps copies. */
    public Figures {
        lines = List.copyOf(lines);
        times = List.copyOf(times);
        earlier = List.copyOf(earlier);
    }
}

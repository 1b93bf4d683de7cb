package cinderhollow.peers;

import java.util.Locale;

/** Reason for which a datagram is dropped. */
public enum DropReason {
    /** Shorter than the minimum or longer than the maximum size. */
    LENGTH,
    /** Other protocol version. */
    VERSION,
    /** Other fleet, or this fleet with a member list of another size. */
    FLEET,
    /** Wrong authentication tag: changed in transit, or made without the fleet's secret. */
    SEAL,
    /** Sender is not on the member list, or the address is not that of the sender it names. */
    SENDER,
    /** Duplicate, or too old for the replay window to tell. */
    REPEATED,
    /** Earlier generation (process start) of its sender. */
    OLD_LIFE,
    /** Generation too far in the future: the sender's clock is far ahead. */
    FUTURE,
    /** Correctly authenticated, but the content cannot be decoded. */
    FORM;

    /** Returns the name used in metrics and logs: lower case with hyphens. */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}

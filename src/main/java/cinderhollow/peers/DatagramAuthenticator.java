package cinderhollow.peers;

import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.Arrays;
import java.util.zip.CRC32C;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * Authentication tag of eight bytes at a datagram's end: a truncated HMAC-SHA-256 (RFC 2104) keyed with the fleet's secret.
 * Without a secret it is a CRC-32C checksum, which detects only accidental changes.
 */
final class DatagramAuthenticator {
    static final int TAG_BYTES = 8;
    private static final String ALGORITHM = "HmacSHA256";

    private final Mac mac;

    DatagramAuthenticator(byte[] secret) {
        try {
            mac = secret.length == 0 ? null : Mac.getInstance(ALGORITHM);
            if (mac != null) {
                mac.init(new SecretKeySpec(secret, ALGORITHM));
            }
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("this Java runtime lacks the required algorithm " + ALGORITHM, e);
        }
    }

    /** Returns the bytes with their tag appended. */
    byte[] appendTag(byte[] bytes) {
        byte[] tagged = Arrays.copyOf(bytes, bytes.length + TAG_BYTES);
        System.arraycopy(computeTag(bytes, bytes.length), 0, tagged, bytes.length, TAG_BYTES);
        return tagged;
    }

    /** Returns whether the last bytes are the tag of those before; compares in constant time, so that timing leaks nothing. */
    boolean hasValidTag(byte[] tagged) {
        int length = tagged.length - TAG_BYTES;
        return MessageDigest.isEqual(computeTag(tagged, length), Arrays.copyOfRange(tagged, length, tagged.length));
    }

    private byte[] computeTag(byte[] bytes, int length) {
        if (mac != null) {
            mac.update(bytes, 0, length);
            return Arrays.copyOf(mac.doFinal(), TAG_BYTES);
        }
        CRC32C sum = new CRC32C();
        sum.update(bytes, 0, length);
        return ByteCursor.allocate(TAG_BYTES).put(sum.getValue(), TAG_BYTES).toByteArray();
    }
}

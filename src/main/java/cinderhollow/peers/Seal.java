package cinderhollow.peers;

import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.Arrays;
import java.util.zip.CRC32C;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/** Eight bytes at a datagram's end: HMAC-SHA-256 (RFC 2104), cut off, under the secret; without one a checksum against bad luck alone. */
final class Seal {
    static final int BYTES = 8;
    private static final String ALGORITHM = "HmacSHA256";

    private final Mac mac;

    Seal(byte[] secret) {
        try {
            mac = secret.length == 0 ? null : Mac.getInstance(ALGORITHM);
            if (mac != null) {
                mac.init(new SecretKeySpec(secret, ALGORITHM));
            }
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("each Java runtime has " + ALGORITHM, e);
        }
    }

    /** These with their seal behind them. */
    byte[] onto(byte[] bytes) {
        byte[] whole = Arrays.copyOf(bytes, bytes.length + BYTES);
        System.arraycopy(of(bytes, bytes.length), 0, whole, bytes.length, BYTES);
        return whole;
    }

    /** Whether the last bytes are the seal of those before; how long it takes tells nothing. */
    boolean holds(byte[] whole) {
        int length = whole.length - BYTES;
        return MessageDigest.isEqual(of(whole, length), Arrays.copyOfRange(whole, length, whole.length));
    }

    private byte[] of(byte[] bytes, int length) {
        if (mac != null) {
            mac.update(bytes, 0, length);
            return Arrays.copyOf(mac.doFinal(), BYTES);
        }
        CRC32C sum = new CRC32C();
        sum.update(bytes, 0, length);
        return Bytes.ofSize(BYTES).put(sum.getValue(), BYTES).written();
    }
}

package org.chivevale.core.account;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.security.SecureRandom;
import java.util.Base64;
import java.util.HexFormat;
import org.chivevale.core.errors.ChivevaleException;
import org.chivevale.core.errors.ResultCode;

/**
 * A secret key: a public id and a random secret, written {@code ck_ID_SECRET}.
 *
 * <p>Invariants: the secret has 256 random bits, so its plain SHA-256 is safe to store; the text
 * form never shows the secret. Immutable.
 */
public final class ClientKey {
    private static final String PREFIX = "ck_";
    private static final int ID_BYTES = 6;
    private static final int SECRET_BYTES = 32;
    private static final int ID_CHARS = 2 * ID_BYTES;

    private final String id;
    private final String secret;

    private ClientKey(String id, String secret) {
        this.id = id;
        this.secret = secret;
    }

    /**
     * Generates a key.
     *
     * @param random the source of randomness
     * @return a new key
     */
    public static ClientKey random(SecureRandom random) {
        byte[] id = new byte[ID_BYTES];
        byte[] secret = new byte[SECRET_BYTES];
        random.nextBytes(id);
        random.nextBytes(secret);
        return new ClientKey(
                HexFormat.of().formatHex(id),
                Base64.getUrlEncoder().withoutPadding().encodeToString(secret));
    }

    /**
     * Parses a key.
     *
     * @param text the key as the caller sent it
     * @return the key
     * @throws ChivevaleException with KEY_REFUSED when the text is not a key
     */
    public static ClientKey parse(String text) {
        int secretStart = PREFIX.length() + ID_CHARS + 1;
        boolean wellFormed =
                text.startsWith(PREFIX)
                        && text.length() > secretStart
                        && text.length() < 128
                        && text.charAt(secretStart - 1) == '_';
        if (!wellFormed) {
            throw new ChivevaleException(ResultCode.KEY_REFUSED, "the key is not well formed");
        }
        return new ClientKey(
                text.substring(PREFIX.length(), secretStart - 1), text.substring(secretStart));
    }

    /**
     * Returns the public id.
     *
     * @return the key's id
     */
    public String id() {
        return id;
    }

    /**
     * Returns the complete key, which is shown once only.
     *
     * @return the form that {@link #parse} reads
     */
    public String reveal() {
        return PREFIX + id + "_" + secret;
    }

    /**
     * Returns the hash that is stored in place of the secret.
     *
     * @return its SHA-256
     */
    public byte[] hash() {
        try {
            return MessageDigest.getInstance("SHA-256")
                    .digest(secret.getBytes(StandardCharsets.UTF_8));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }

    /**
     * Compares with a stored hash in constant time.
     *
     * @param storedHash a result of {@link #hash}
     * @return true when the secret is the same
     */
    public boolean matches(byte[] storedHash) {
        return MessageDigest.isEqual(hash(), storedHash);
    }

    @Override
    public String toString() {
        return PREFIX + id + "_***";
    }
}

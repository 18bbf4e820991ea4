package org.chivevale.core.account;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;
import java.util.HexFormat;

/**
 * Identifies keys issued by other systems by their hash, so that no process stores the key itself.
 *
 * <p>Stateless and thread safe.
 */
public final class OpaqueKey {
    private static final int ID_BYTES = 16;

    private OpaqueKey() {}

    /**
     * Hashes a key.
     *
     * @param key the key as the caller sends it
     * @return its SHA-256
     */
    public static byte[] hash(String key) {
        try {
            return MessageDigest.getInstance("SHA-256")
                    .digest(key.getBytes(StandardCharsets.UTF_8));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java runtime has SHA-256", e);
        }
    }

    /**
     * Derives the id of a key.
     *
     * @param hash a result of {@link #hash}
     * @return the id under which it is stored
     */
    public static String id(byte[] hash) {
        return HexFormat.of().formatHex(Arrays.copyOf(hash, ID_BYTES));
    }
}

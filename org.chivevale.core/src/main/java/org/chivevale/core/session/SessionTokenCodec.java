package org.chivevale.core.session;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.Arrays;
import java.util.Base64;
import java.util.Map;
import java.util.TreeMap;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import org.chivevale.core.account.ClientAccountId;
import org.chivevale.core.errors.ChivevaleException;
import org.chivevale.core.errors.ResultCode;

/**
 * Encodes and decodes session tokens.
 *
 * <p>Format: a version byte, the marks, and the first 16 bytes of an HMAC-SHA-256 over the client
 * account and all before; base64url. Invariant: a token is accepted only for the account it was
 * encoded for. Thread safe.
 */
public final class SessionTokenCodec {
    private static final int FORMAT_VERSION = 1;
    private static final int TAG_BYTES = 16;
    private static final int MAX_TEXT_CHARS = 32 * 1024;
    private static final String ALGORITHM = "HmacSHA256";

    private final Mac initializedMac;

    /**
     * Creates a codec.
     *
     * @param secret the secret that all proxies share
     */
    public SessionTokenCodec(byte[] secret) {
        try {
            initializedMac = Mac.getInstance(ALGORITHM);
            initializedMac.init(new SecretKeySpec(secret, ALGORITHM));
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException(e);
        }
    }

    /**
     * Encodes a token.
     *
     * @param account the client account it is issued to
     * @param token the token
     * @return base64url text
     */
    public String encode(ClientAccountId account, SessionToken token) {
        try {
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            DataOutputStream out = new DataOutputStream(bytes);
            out.writeByte(FORMAT_VERSION);
            out.writeShort(token.marks().size());
            for (Map.Entry<String, Mark> entry : token.marks().entrySet()) {
                out.writeUTF(entry.getKey());
                out.writeInt((int) entry.getValue().term());
                out.writeLong(entry.getValue().position());
                out.writeBoolean(entry.getValue().primaryOnly());
            }
            byte[] tag = tag(account, bytes.toByteArray());
            out.write(tag, 0, TAG_BYTES);
            return Base64.getUrlEncoder().withoutPadding().encodeToString(bytes.toByteArray());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Decodes and authenticates a token.
     *
     * @param account the client account whose key the request carries
     * @param text the token as the caller sent it
     * @return the token
     * @throws ChivevaleException with TOKEN_INVALID when it was not issued to the account by this
     *     system
     */
    public SessionToken decode(ClientAccountId account, String text) {
        if (text.length() > MAX_TEXT_CHARS) {
            throw invalid("is too long");
        }
        byte[] bytes;
        try {
            bytes = Base64.getUrlDecoder().decode(text);
        } catch (IllegalArgumentException e) {
            throw invalid("is not base64url");
        }
        if (bytes.length <= TAG_BYTES) {
            throw invalid("is truncated");
        }
        byte[] body = Arrays.copyOf(bytes, bytes.length - TAG_BYTES);
        byte[] sent = Arrays.copyOfRange(bytes, body.length, bytes.length);
        byte[] expected = Arrays.copyOf(tag(account, body), TAG_BYTES);
        if (!MessageDigest.isEqual(expected, sent)) {
            throw invalid("was not issued to this client account");
        }
        return readBody(body);
    }

    private static SessionToken readBody(byte[] body) {
        try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(body))) {
            if (in.readUnsignedByte() != FORMAT_VERSION) {
                throw invalid("has an unknown version");
            }
            int count = in.readUnsignedShort();
            Map<String, Mark> marks = new TreeMap<>();
            for (int i = 0; i < count; i++) {
                String group = in.readUTF();
                marks.put(group, new Mark(in.readInt(), in.readLong(), in.readBoolean()));
            }
            return new SessionToken(marks);
        } catch (IOException e) {
            throw invalid("is truncated");
        }
    }

    private byte[] tag(ClientAccountId account, byte[] body) {
        Mac mac = newMac();
        mac.update(account.value().getBytes(StandardCharsets.UTF_8));
        mac.update((byte) 0);
        return mac.doFinal(body);
    }

    /** Returns a new MAC; cloning an initialized one is cheaper than initializing another. */
    private Mac newMac() {
        try {
            return (Mac) initializedMac.clone();
        } catch (CloneNotSupportedException e) {
            throw new IllegalStateException(e);
        }
    }

    private static ChivevaleException invalid(String reason) {
        return new ChivevaleException(ResultCode.TOKEN_INVALID, "the session token " + reason);
    }
}

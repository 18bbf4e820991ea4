package org.chivevale.core.config;

import java.security.MessageDigest;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.Map;
import org.chivevale.core.account.ClientAccountId;
import org.chivevale.core.account.ClientKey;
import org.chivevale.core.account.OpaqueKey;
import org.chivevale.core.errors.ChivevaleException;
import org.chivevale.core.errors.ResultCode;
import org.chivevale.wire.proto.KeyPut;

/**
 * The keys of client accounts that were not withdrawn, by their public ids.
 *
 * <p>Not thread safe.
 */
final class KeyTable {
    private final Map<String, StoredKey> byId = new HashMap<>();

    void clear() {
        byId.clear();
    }

    void put(KeyPut put) {
        ClientAccountId account = new ClientAccountId(put.getAccountId());
        byId.put(
                put.getKeyId(),
                new StoredKey(put.getKeyId(), account, put.getHash().toByteArray()));
    }

    void withdraw(String keyId) {
        byId.remove(keyId);
    }

    void removeAccount(String accountId) {
        byId.values().removeIf(key -> key.account().value().equals(accountId));
    }

    StoredKey find(String keyId) {
        return byId.get(keyId);
    }

    StoredKey authenticate(String text) {
        if (text == null || text.isEmpty()) {
            throw new ChivevaleException(ResultCode.KEY_MISSING, "no key was sent");
        }
        ClientKey sent = ClientKey.parse(text);
        StoredKey stored = byId.get(sent.id());
        if (stored == null || !sent.matches(stored.hash())) {
            throw new ChivevaleException(
                    ResultCode.KEY_REFUSED, "key " + sent.id() + " is unknown or withdrawn");
        }
        return stored;
    }

    /** Finds a key that another system issued; null when no account has it. */
    StoredKey findOpaque(String text) {
        byte[] hash = OpaqueKey.hash(text);
        StoredKey stored = byId.get(OpaqueKey.id(hash));
        return stored != null && MessageDigest.isEqual(stored.hash(), hash) ? stored : null;
    }

    Collection<StoredKey> all() {
        return Collections.unmodifiableCollection(byId.values());
    }
}

package org.chivevale.core.config;

import java.util.Collection;
import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;
import org.chivevale.core.account.ClientKey;
import org.chivevale.core.errors.ChivevaleException;
import org.chivevale.core.errors.ResultCode;
import org.chivevale.wire.proto.OperatorPut;

/**
 * The operators by name, with the hashes of their keys.
 *
 * <p>Not thread safe.
 */
final class OperatorTable {
    private final Map<String, Operator> byId = new TreeMap<>();

    void clear() {
        byId.clear();
    }

    void put(OperatorPut put) {
        byId.put(
                put.getOperatorId(),
                new Operator(
                        put.getOperatorId(),
                        put.getKeyId(),
                        put.getHash().toByteArray(),
                        Operator.Role.valueOf(put.getRole())));
    }

    Operator find(String id) {
        return byId.get(id);
    }

    Operator authenticate(String text) {
        if (text != null && !text.isEmpty()) {
            ClientKey sent = ClientKey.parse(text);
            for (Operator operator : byId.values()) {
                if (operator.keyId().equals(sent.id()) && sent.matches(operator.hash())) {
                    return operator;
                }
            }
        }
        throw new ChivevaleException(
                ResultCode.OPERATOR_REFUSED, "the operator key is missing or unknown");
    }

    Collection<Operator> all() {
        return Collections.unmodifiableCollection(byId.values());
    }
}

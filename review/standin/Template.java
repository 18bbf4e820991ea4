package review.standin;

import java.util.List;
import java.util.Map;

/** Fills in the settings templates of the deploy file, as far as those of this project use them. */
final class Template {
    private Template() {}

    /** Renders a text with the fields; names are resolved in the current entry first. */
    static String render(String text, Map<String, Object> fields) {
        return render(text, fields, fields, "", true);
    }

    private static String render(
            String text, Map<String, Object> fields, Object entry, String key, boolean isLast) {
        StringBuilder out = new StringBuilder();
        int at = 0;
        while (true) {
            int open = text.indexOf("{{", at);
            if (open < 0) {
                return out.append(text.substring(at)).toString();
            }
            int close = text.indexOf("}}", open);
            out.append(text, at, open);
            String name = text.substring(open + 2, close);
            at = close + 2;
            if (name.startsWith("#")) {
                String end = "{{/" + name.substring(1) + "}}";
                int bodyEnd = text.indexOf(end, at);
                out.append(section(text.substring(at, bodyEnd), fields, name.substring(1)));
                at = bodyEnd + end.length();
            } else if (name.equals(",")) {
                out.append(isLast ? "" : ",");
            } else if (name.equals("@")) {
                out.append(key);
            } else {
                out.append(value(name, fields, entry));
            }
        }
    }

    private static String section(String body, Map<String, Object> fields, String name) {
        Object found = find(name, fields);
        StringBuilder out = new StringBuilder();
        if (found instanceof List<?> list) {
            for (int i = 0; i < list.size(); i++) {
                out.append(render(body, fields, list.get(i), "" + i, i == list.size() - 1));
            }
        } else if (found instanceof Map<?, ?> map) {
            int left = map.size();
            for (Map.Entry<?, ?> each : map.entrySet()) {
                left--;
                out.append(
                        render(body, fields, each.getValue(), each.getKey().toString(), left == 0));
            }
        } else if (found != null && !found.equals(false)) {
            out.append(render(body, fields, found, "", true));
        }
        return out.toString();
    }

    private static String value(String name, Map<String, Object> fields, Object entry) {
        boolean isJson = name.endsWith("|json");
        String path = isJson ? name.substring(0, name.length() - "|json".length()) : name;
        Object found = path.equals(".") ? entry : find(path, fields);
        if (found == null) {
            return "";
        }
        return isJson && found instanceof String ? "\"" + found + "\"" : found.toString();
    }

    private static Object find(String path, Map<String, Object> fields) {
        Object current = fields;
        for (String part : path.split("\\.")) {
            if (current instanceof Map<?, ?> map) {
                current = map.get(part);
            } else if (current instanceof List<?> list) {
                current = list.get(Integer.parseInt(part));
            } else {
                return null;
            }
        }
        return current;
    }
}

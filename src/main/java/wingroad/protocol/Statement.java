package wingroad.protocol;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A client's statement: the comment that tells what it is, and the text that members get. {@code
 * after} is the position that a read must see, in Unix milliseconds, or null.
 */
public record Statement(
        String id,
        String type,
        long left,
        int group,
        Double after,
        boolean retry,
        boolean writes,
        String key,
        byte[] text,
        int leftFrom,
        int leftTo) {

    /** A statement, or why there is none. */
    public record Parsed(Statement statement, String why) {}

    /** A comment's names beyond this are not looked for. */
    private static final int LONGEST_COMMENT = 2048;

    private static final int LONGEST_WAIT_MS = 24 * 3600 * 1000;
    private static final Pattern READ =
            Pattern.compile(" SELECT v FROM records WHERE k = '([^'\\\\]{1,256})'");
    private static final String WRITE = " INSERT INTO records (k, v) VALUES ('";
    private static final String RETURNS = "') RETURNING v";

    /**
     * Reads a query's text. Whatever is not of the one agreed form is turned away, with the reason.
     */
    public static Parsed parse(byte[] bytes) {
        // One byte, one char: positions in the text are positions in the bytes.
        String s = new String(bytes, StandardCharsets.ISO_8859_1);
        int end = s.indexOf("*/");
        if (!s.startsWith("/*") || end < 0 || s.indexOf('\0') >= 0) {
            return wrong("no comment before the statement");
        }
        Map<String, String> names = new HashMap<>();
        int leftFrom = -1;
        int leftTo = -1;
        for (int at = 2; at < end; ) {
            int comma = s.indexOf(',', at);
            int to = comma < 0 || comma > end ? end : comma;
            int equals = s.indexOf('=', at);
            if (equals < 0 || equals > to) {
                return wrong("a part of the comment is no name=value");
            }
            String name = s.substring(at, equals).strip();
            String value = s.substring(equals + 1, to).strip();
            if (names.put(name, value) != null) {
                return wrong("the comment repeats a name");
            }
            if (name.equals("d")) {
                leftFrom = s.indexOf(value, equals + 1);
                leftTo = leftFrom + value.length();
            }
            at = to + 1;
        }
        String id = names.get("id");
        String type = names.get("c");
        Long left = whole(names.get("d"));
        Long group = whole(names.get("cluster"));
        String marked = names.get("r");
        Double after = null;
        if (id == null || id.isEmpty() || id.length() > 64) {
            return wrong("the comment has no id");
        }
        if (type == null) {
            return wrong("the comment has no c");
        }
        if (left == null || left <= 0) {
            return wrong("the comment's d is no time");
        }
        if (group == null || group > Integer.MAX_VALUE) {
            return wrong("the comment's cluster is no number");
        }
        if (names.containsKey("after")) {
            Long position = whole(names.get("after"));
            if (position == null) {
                return wrong("the comment's after is no position");
            }
            after = position == 0 ? null : (double) position;
        }
        if (marked != null && !marked.equals("1") && !marked.equals("0")) {
            return wrong("the comment's r is neither 0 nor 1");
        }
        int body = end + 2;
        Matcher read = READ.matcher(s).region(body, s.length());
        String key = read.matches() ? read.group(1) : null;
        boolean writes = key == null;
        if (writes) {
            key = written(s, body);
            if (key == null) {
                return wrong("not the one statement that is served here");
            }
        }
        return new Parsed(
                new Statement(
                        id,
                        type,
                        Math.min(left, LONGEST_WAIT_MS),
                        group.intValue(),
                        after,
                        "1".equals(marked),
                        writes,
                        key,
                        bytes,
                        leftFrom,
                        leftTo),
                null);
    }

    /** The value that the comment gives to a name, or null. */
    public String named(String name) {
        String comment =
                new String(
                        text,
                        2,
                        Math.min(text.length - 2, LONGEST_COMMENT),
                        StandardCharsets.UTF_8);
        int end = comment.indexOf("*/");
        for (String part : end < 0 ? new String[0] : comment.substring(0, end).split(",")) {
            int equals = part.indexOf('=');
            if (part.substring(0, equals).strip().equals(name)) {
                String value = part.substring(equals + 1).strip();
                return value.isEmpty() ? null : value;
            }
        }
        return null;
    }

    /** The key of a write whose text is whole and of the agreed form, or null. */
    private static String written(String s, int from) {
        if (!s.startsWith(WRITE, from) || !s.endsWith(RETURNS)) {
            return null;
        }
        int key = from + WRITE.length();
        int quote = s.indexOf('\'', key);
        String between = "', '\\x";
        int last = s.length() - RETURNS.length();
        if (quote <= key
                || quote - key > 256
                || !s.startsWith(between, quote)
                || s.lastIndexOf('\\', quote) >= key) {
            return null;
        }
        int value = quote + between.length();
        if (value > last || (last - value) % 2 != 0 || last - value > 2 * 64 * 1024) {
            return null;
        }
        for (int i = value; i < last; i++) {
            if (Character.digit(s.charAt(i), 16) < 0) {
                return null;
            }
        }
        return s.substring(key, quote);
    }

    /** The text for a member: as it came, but for the time that is left. */
    public byte[] withLeft(long ms) {
        byte[] number = Long.toString(ms).getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = new byte[leftFrom + number.length + text.length - leftTo];
        System.arraycopy(text, 0, all, 0, leftFrom);
        System.arraycopy(number, 0, all, leftFrom, number.length);
        System.arraycopy(text, leftTo, all, leftFrom + number.length, text.length - leftTo);
        return all;
    }

    /** A number that stands for the quoted key, never negative. */
    public long session() {
        long hash = 0xcbf29ce484222325L;
        for (int i = 0; i < key.length(); i++) {
            hash = (hash ^ key.charAt(i)) * 0x100000001b3L;
        }
        return hash & Long.MAX_VALUE;
    }

    private static Long whole(String digits) {
        if (digits == null || digits.isEmpty() || digits.length() > 15) {
            return null;
        }
        long n = 0;
        for (int i = 0; i < digits.length(); i++) {
            char c = digits.charAt(i);
            if (c < '0' || c > '9') {
                return null;
            }
            n = n * 10 + c - '0';
        }
        return n;
    }

    private static Parsed wrong(String why) {
        return new Parsed(null, why);
    }
}

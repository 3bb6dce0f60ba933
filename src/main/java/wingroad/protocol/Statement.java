package wingroad.protocol;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A client's statement: the parameters in its leading comment, and the text for members.
 *
 * @param timeLeftMs the time left for the txn, in milliseconds
 * @param afterPositionMs the position that a read must see, in Unix milliseconds, or null
 * @param timeLeftStart index in the text of the first byte of the time left
 * @param timeLeftEnd index in the text after the last byte of the time left
 */
public record Statement(
        String id,
        String txnType,
        long timeLeftMs,
        int group,
        Double afterPositionMs,
        boolean retry,
        boolean write,
        String key,
        byte[] text,
        int timeLeftStart,
        int timeLeftEnd) {

    /** A parsed statement, or the reason why it was rejected; the other one is null. */
    public record Parsed(Statement statement, String error) {}

    /** {@link #commentValue} ignores the comment beyond this length. */
    private static final int MAX_SEARCHED_COMMENT_BYTES = 2048;

    /** Bounds the time that a comment takes; as usual for the header fields of a request. */
    private static final int MAX_PARAMETER_COUNT = 100;

    private static final int MAX_ID_CHARS = 64;
    private static final int MAX_KEY_CHARS = 256;

    /** A value has at most 64 KiB, each byte written as two hex digits. */
    private static final int MAX_VALUE_HEX_CHARS = 2 * 64 * 1024;

    private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private static final int MAX_TIME_LEFT_MS = 24 * 3600 * 1000;
    private static final Pattern READ_STATEMENT =
            Pattern.compile(" SELECT v FROM records WHERE k = '([^'\\\\]{1,256})'");
    private static final String WRITE_PREFIX = " INSERT INTO records (k, v) VALUES ('";
    private static final String WRITE_SUFFIX = "') RETURNING v";

    /**
     * Parses a query's text. Everything but the two supported statements is rejected with a reason.
     */
    public static Parsed parse(byte[] text) {
        // ISO 8859-1 maps each byte to one char, so positions in the string are positions in the
        // bytes.
        String query = new String(text, StandardCharsets.ISO_8859_1);
        int commentEnd = query.indexOf("*/");
        if (!query.startsWith("/*") || commentEnd < 0 || query.indexOf('\0') >= 0) {
            return invalid("no comment before the statement");
        }
        Map<String, String> parameters = new HashMap<>();
        int timeLeftStart = -1;
        int timeLeftEnd = -1;
        for (int pairStart = 2; pairStart < commentEnd; ) {
            int comma = query.indexOf(',', pairStart);
            int pairEnd = comma < 0 || comma > commentEnd ? commentEnd : comma;
            int equals = query.indexOf('=', pairStart);
            if (equals < 0 || equals > pairEnd) {
                return invalid("a part of the comment is no name=value");
            }
            if (parameters.size() == MAX_PARAMETER_COUNT) {
                return invalid("the comment has too many names");
            }
            String name = query.substring(pairStart, equals).strip();
            String value = query.substring(equals + 1, pairEnd).strip();
            if (parameters.put(name, value) != null) {
                return invalid("the comment repeats a name");
            }
            if (name.equals("d")) {
                timeLeftStart = query.indexOf(value, equals + 1);
                timeLeftEnd = timeLeftStart + value.length();
            }
            pairStart = pairEnd + 1;
        }
        String id = parameters.get("id");
        String txnType = parameters.get("c");
        Long timeLeftMs = parseUnsigned(parameters.get("d"));
        Long group = parseUnsigned(parameters.get("cluster"));
        String retryFlag = parameters.get("r");
        Double afterPositionMs = null;
        if (id == null || id.isEmpty() || id.length() > MAX_ID_CHARS) {
            return invalid("the comment has no id");
        }
        if (txnType == null) {
            return invalid("the comment has no c");
        }
        if (timeLeftMs == null || timeLeftMs <= 0) {
            return invalid("the comment's d is no time");
        }
        if (group == null || group > Integer.MAX_VALUE) {
            return invalid("the comment's cluster is no number");
        }
        if (parameters.containsKey("after")) {
            Long position = parseUnsigned(parameters.get("after"));
            if (position == null) {
                return invalid("the comment's after is no position");
            }
            afterPositionMs = position == 0 ? null : (double) position;
        }
        if (retryFlag != null && !retryFlag.equals("1") && !retryFlag.equals("0")) {
            return invalid("the comment's r is neither 0 nor 1");
        }
        int bodyStart = commentEnd + 2;
        Matcher readMatcher = READ_STATEMENT.matcher(query).region(bodyStart, query.length());
        String key = readMatcher.matches() ? readMatcher.group(1) : null;
        boolean write = key == null;
        if (write) {
            key = parseWriteKey(query, bodyStart);
            if (key == null) {
                return invalid("not the one statement that is served here");
            }
        }
        return new Parsed(
                new Statement(
                        id,
                        txnType,
                        Math.min(timeLeftMs, MAX_TIME_LEFT_MS),
                        group.intValue(),
                        afterPositionMs,
                        "1".equals(retryFlag),
                        write,
                        key,
                        text,
                        timeLeftStart,
                        timeLeftEnd),
                null);
    }

    /** The value of a parameter in the leading comment, or null if it is absent or empty. */
    public String commentValue(String name) {
        String comment =
                new String(
                        text,
                        2,
                        Math.min(text.length - 2, MAX_SEARCHED_COMMENT_BYTES),
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

    /** Extracts the key of a complete write statement; returns null for any other text. */
    private static String parseWriteKey(String query, int bodyStart) {
        if (!query.startsWith(WRITE_PREFIX, bodyStart) || !query.endsWith(WRITE_SUFFIX)) {
            return null;
        }
        int keyStart = bodyStart + WRITE_PREFIX.length();
        int keyEnd = query.indexOf('\'', keyStart);
        String separator = "', '\\x";
        int valueEnd = query.length() - WRITE_SUFFIX.length();
        if (keyEnd <= keyStart
                || keyEnd - keyStart > MAX_KEY_CHARS
                || !query.startsWith(separator, keyEnd)
                || query.lastIndexOf('\\', keyEnd) >= keyStart) {
            return null;
        }
        int valueStart = keyEnd + separator.length();
        if (valueStart > valueEnd
                || (valueEnd - valueStart) % 2 != 0
                || valueEnd - valueStart > MAX_VALUE_HEX_CHARS) {
            return null;
        }
        for (int i = valueStart; i < valueEnd; i++) {
            if (Character.digit(query.charAt(i), 16) < 0) {
                return null;
            }
        }
        return query.substring(keyStart, keyEnd);
    }

    /** Returns the text for a member, in which the time left is replaced. */
    public byte[] withTimeLeft(long timeLeftMs) {
        byte[] digits = Long.toString(timeLeftMs).getBytes(StandardCharsets.ISO_8859_1);
        byte[] rewritten = new byte[timeLeftStart + digits.length + text.length - timeLeftEnd];
        System.arraycopy(text, 0, rewritten, 0, timeLeftStart);
        System.arraycopy(digits, 0, rewritten, timeLeftStart, digits.length);
        System.arraycopy(
                text,
                timeLeftEnd,
                rewritten,
                timeLeftStart + digits.length,
                text.length - timeLeftEnd);
        return rewritten;
    }

    /** A non-negative hash (FNV-1a, with the sign bit cleared) of the key. */
    public long keyHash() {
        long hash = FNV_OFFSET_BASIS;
        for (int i = 0; i < key.length(); i++) {
            hash = (hash ^ key.charAt(i)) * FNV_PRIME;
        }
        return hash & Long.MAX_VALUE;
    }

    private static Long parseUnsigned(String digits) {
        if (digits == null || digits.isEmpty() || digits.length() > 15) {
            return null;
        }
        long number = 0;
        for (int i = 0; i < digits.length(); i++) {
            char c = digits.charAt(i);
            if (c < '0' || c > '9') {
                return null;
            }
            number = number * 10 + c - '0';
        }
        return number;
    }

    private static Parsed invalid(String reason) {
        return new Parsed(null, reason);
    }
}

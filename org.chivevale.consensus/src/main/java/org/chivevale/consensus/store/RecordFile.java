package org.chivevale.consensus.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.zip.CRC32C;
import org.chivevale.core.errors.ChivevaleException;
import org.chivevale.core.errors.ResultCode;

/**
 * An append-only file of records with length and CRC-32C.
 *
 * <p>Record format: four bytes length, four bytes CRC-32C over length and payload (both
 * big-endian), payload. Invariants: a record is synced before {@link #append} returns; a torn tail
 * is truncated when the file is opened; any other corruption is an error that names the file and
 * the offset. After a failed write, the next append first truncates the partial record, and fails
 * if it cannot. Not thread safe.
 */
final class RecordFile implements AutoCloseable {
    static final int MAX_RECORD_BYTES = 64 * 1024 * 1024;
    private static final int HEADER_BYTES = 2 * Integer.BYTES;

    private final Path path;
    private final FileChannel channel;
    private long end;
    private boolean writeFailed;

    RecordFile(Path path, FileChannel channel) {
        this.path = path;
        this.channel = channel;
    }

    /** Opens a file, creating it if needed, and adds the payloads of its records to a list. */
    static RecordFile open(StoreFiles files, Path path, List<byte[]> records) throws IOException {
        FileChannel channel =
                files.open(
                        path,
                        StandardOpenOption.CREATE,
                        StandardOpenOption.READ,
                        StandardOpenOption.WRITE);
        RecordFile file = new RecordFile(path, channel);
        try {
            file.load(records);
        } catch (IOException | RuntimeException e) {
            channel.close();
            throw e;
        }
        return file;
    }

    private void load(List<byte[]> records) throws IOException {
        long size = channel.size();
        while (end < size) {
            byte[] payload = readRecord(end, size);
            if (payload == null) {
                channel.truncate(end);
                channel.force(true);
                return;
            }
            records.add(payload);
            end += HEADER_BYTES + payload.length;
        }
    }

    /** Reads a record; returns null if it is torn, which only the last record may be. */
    private byte[] readRecord(long offset, long size) throws IOException {
        if (size - offset < HEADER_BYTES) {
            return null;
        }
        ByteBuffer header = read(offset, HEADER_BYTES);
        int length = header.getInt();
        int crc = header.getInt();
        if (length < 0 || length > MAX_RECORD_BYTES) {
            return tornTailOrCorruption(offset, size, "invalid record length " + length);
        }
        if (size - offset - HEADER_BYTES < length) {
            return tornTailOrCorruption(offset, size, "record is truncated");
        }
        byte[] payload = read(offset + HEADER_BYTES, length).array();
        if (crc != crc(payload)) {
            boolean last = offset + HEADER_BYTES + length == size;
            return last ? null : corruption(offset, "checksum does not match");
        }
        return payload;
    }

    /**
     * Classifies an incomplete record: corruption if a valid record starts anywhere after it,
     * otherwise a torn tail, for which it returns null.
     */
    private byte[] tornTailOrCorruption(long offset, long size, String reason) throws IOException {
        long rest = size - offset - 1;
        if (rest > MAX_RECORD_BYTES) {
            return corruption(offset, reason);
        }
        ByteBuffer tail = read(offset + 1, (int) rest);
        for (int at = 0; at + HEADER_BYTES < tail.limit(); at++) {
            if (isValidRecordAt(tail, at)) {
                return corruption(offset, reason);
            }
        }
        return null;
    }

    private static boolean isValidRecordAt(ByteBuffer tail, int at) {
        int length = tail.getInt(at);
        if (length <= 0 || length > tail.limit() - at - HEADER_BYTES) {
            return false;
        }
        byte[] payload = new byte[length];
        tail.get(at + HEADER_BYTES, payload);
        return tail.getInt(at + Integer.BYTES) == crc(payload);
    }

    private byte[] corruption(long offset, String reason) {
        throw new ChivevaleException(
                ResultCode.STORE_DAMAGED, path + " at offset " + offset + ": " + reason);
    }

    private ByteBuffer read(long offset, int length) throws IOException {
        ByteBuffer buffer = ByteBuffer.allocate(length);
        while (buffer.hasRemaining()) {
            if (channel.read(buffer, offset + buffer.position()) < 0) {
                throw new IOException(path + " was truncated while it was read");
            }
        }
        return buffer.flip();
    }

    static int crc(byte[] payload) {
        CRC32C crc = new CRC32C();
        crc.update(ByteBuffer.allocate(Integer.BYTES).putInt(payload.length).flip());
        crc.update(payload);
        return (int) crc.getValue();
    }

    /** Appends a record and syncs it. */
    void append(byte[] payload) {
        recoverFromFailedWrite();
        ByteBuffer buffer = ByteBuffer.allocate(HEADER_BYTES + payload.length);
        buffer.putInt(payload.length).putInt(crc(payload)).put(payload);
        writeAtEnd(buffer.flip());
        end += HEADER_BYTES + payload.length;
    }

    private void writeAtEnd(ByteBuffer buffer) {
        try {
            long at = end;
            while (buffer.hasRemaining()) {
                at += channel.write(buffer, at);
            }
            channel.force(false);
        } catch (IOException e) {
            writeFailed = true;
            throw new ChivevaleException(ResultCode.STORE_FAILED, path + ": " + e.getMessage());
        }
    }

    /** Truncates what a failed write may have left, so that the file can be appended to again. */
    private void truncateFailedWrite() {
        try {
            channel.truncate(end);
            channel.force(true);
            writeFailed = false;
        } catch (IOException e) {
            throw new ChivevaleException(
                    ResultCode.STORE_FAILED,
                    path + ": cannot truncate the remains of a failed write: " + e.getMessage());
        }
    }

    long sizeBytes() {
        return end;
    }

    private void recoverFromFailedWrite() {
        if (writeFailed) {
            truncateFailedWrite();
        }
    }

    @Override
    public void close() throws IOException {
        channel.close();
    }
}

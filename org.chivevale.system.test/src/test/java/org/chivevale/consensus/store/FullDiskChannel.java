package org.chivevale.consensus.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.MappedByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.ReadableByteChannel;
import java.nio.channels.WritableByteChannel;
import java.util.function.BooleanSupplier;

/**
 * A file on a simulated disk; once full, a write stores half of its bytes and fails. A disk may
 * also refuse single writes, truncations and syncs.
 */
final class FullDiskChannel extends FileChannel {
    private final FileChannel file;
    private final BooleanSupplier refuses;
    boolean full;

    FullDiskChannel(FileChannel file) {
        this(file, () -> false);
    }

    FullDiskChannel(FileChannel file, BooleanSupplier refuses) {
        this.file = file;
        this.refuses = refuses;
    }

    private void requireAccepted() throws IOException {
        if (refuses.getAsBoolean()) {
            throw new IOException("No space left on device");
        }
    }

    @Override
    public int write(ByteBuffer source, long position) throws IOException {
        if (!full && !refuses.getAsBoolean()) {
            return file.write(source, position);
        }
        ByteBuffer half = source.duplicate();
        half.limit(half.position() + half.remaining() / 2);
        file.write(half, position);
        throw new IOException("No space left on device");
    }

    @Override
    public int read(ByteBuffer target, long position) throws IOException {
        return file.read(target, position);
    }

    @Override
    public FileChannel truncate(long size) throws IOException {
        requireAccepted();
        file.truncate(size);
        return this;
    }

    @Override
    public void force(boolean metaData) throws IOException {
        requireAccepted();
        file.force(metaData);
    }

    @Override
    public long size() throws IOException {
        return file.size();
    }

    @Override
    public long position() throws IOException {
        return file.position();
    }

    @Override
    public FileChannel position(long newPosition) throws IOException {
        file.position(newPosition);
        return this;
    }

    @Override
    public int read(ByteBuffer target) throws IOException {
        return file.read(target);
    }

    @Override
    public long read(ByteBuffer[] targets, int offset, int length) throws IOException {
        return file.read(targets, offset, length);
    }

    @Override
    public int write(ByteBuffer source) throws IOException {
        requireAccepted();
        return file.write(source);
    }

    @Override
    public long write(ByteBuffer[] sources, int offset, int length) throws IOException {
        return file.write(sources, offset, length);
    }

    @Override
    public long transferTo(long position, long count, WritableByteChannel target)
            throws IOException {
        return file.transferTo(position, count, target);
    }

    @Override
    public long transferFrom(ReadableByteChannel source, long position, long count)
            throws IOException {
        return file.transferFrom(source, position, count);
    }

    @Override
    public MappedByteBuffer map(MapMode mode, long position, long size) throws IOException {
        return file.map(mode, position, size);
    }

    @Override
    public FileLock lock(long position, long size, boolean shared) throws IOException {
        return file.lock(position, size, shared);
    }

    @Override
    public FileLock tryLock(long position, long size, boolean shared) throws IOException {
        return file.tryLock(position, size, shared);
    }

    @Override
    protected void implCloseChannel() throws IOException {
        file.close();
    }
}

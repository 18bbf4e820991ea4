package org.chivevale.consensus.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import org.chivevale.core.errors.ChivevaleException;
import org.chivevale.core.errors.ResultCode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Tests a disk that fills up: failed writes leave a partial record behind, which must neither
 * damage the file nor hinder appends once there is space again.
 */
class RecordFileTest {
    @TempDir Path folder;

    private static byte[] record(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    @Test
    void appendsFailOnAFullDiskAndSucceedOnceThereIsSpace() throws Exception {
        Path path = folder.resolve("log");
        FileChannel plain =
                FileChannel.open(
                        path,
                        StandardOpenOption.CREATE,
                        StandardOpenOption.READ,
                        StandardOpenOption.WRITE);
        FullDiskChannel disk = new FullDiskChannel(plain);
        RecordFile file = new RecordFile(path, disk);
        file.append(record("first"));
        disk.full = true;
        for (int i = 0; i < 3; i++) {
            ChivevaleException error =
                    assertThrows(
                            ChivevaleException.class, () -> file.append(record("never written")));
            assertEquals(ResultCode.STORE_FAILED, error.code());
        }
        disk.full = false;
        file.append(record("second"));
        file.close();
        List<byte[]> read = new ArrayList<>();
        RecordFile.open(StoreFiles.onDisk(), path, read).close();
        assertEquals(
                List.of("first", "second"),
                read.stream().map(bytes -> new String(bytes, StandardCharsets.UTF_8)).toList());
    }
}

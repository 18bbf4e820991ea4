package org.chivevale.core.errors;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

class ResultCodesTest {
    private static final Path TABLE = Path.of("..", "docs", "result-codes.md");

    @Test
    void theDocumentedTableMatchesTheCodes() throws IOException {
        List<String> expected =
                Arrays.stream(ResultCode.values())
                        .map(
                                code ->
                                        "| "
                                                + code.number()
                                                + " | "
                                                + code.name()
                                                + " | "
                                                + code.httpStatus()
                                                + " | "
                                                + code.meaning()
                                                + " |")
                        .toList();
        List<String> documented =
                Files.readAllLines(TABLE).stream()
                        .filter(line -> line.matches("\\| \\d+ \\|.*"))
                        .toList();
        assertEquals(String.join("\n", expected), String.join("\n", documented));
    }

    @Test
    void numbersAreUniqueAndStatusesAreHttp() {
        long distinct =
                Arrays.stream(ResultCode.values()).map(ResultCode::number).distinct().count();
        assertEquals(ResultCode.values().length, distinct);
        for (ResultCode code : ResultCode.values()) {
            assertTrue(code.httpStatus() >= 200 && code.httpStatus() < 600, code.name());
        }
    }
}

package org.chivevale.ctl;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.approvaltests.Approvals;
import org.junit.jupiter.api.Test;

/** Compares the output for operators with approved texts, and checks the exit codes. */
class CtlTextTest {
    private static JsonNode parseJson(String text) throws JsonProcessingException {
        return new ObjectMapper().readTree(text.replace('\'', '"'));
    }

    @Test
    void everyCommandParsesAndUsageErrorsHaveTheirOwnExitCode() {
        assertEquals(0, CtlMain.run("help"));
        assertEquals(0, CtlMain.run("new-key"));
        assertEquals(2, CtlMain.run("account", "create"));
        assertEquals(2, CtlMain.run("no-such-command"));
        for (String[] command :
                new String[][] {
                    {"status"},
                    {"configuration"},
                    {"history"},
                    {"report"},
                    {"plan", "/nowhere"},
                    {"confirm", "/nowhere"},
                    {"account", "create", "a"},
                    {"account", "set", "a"},
                    {"account", "remove", "a"},
                    {"rate", "set", "a"},
                    {"key", "create", "a"},
                    {"key", "withdraw", "a"},
                    {"database", "create", "a", "--slots", "1"},
                    {"database", "set", "a"},
                    {"database", "replace-credential", "a"},
                    {"group", "hand-over", "a.0"},
                    {"group", "promote-with-loss", "a.0"},
                    {"datacenter", "evacuate", "a"},
                    {"datacenter", "restore", "a"},
                    {"datacenter", "status"},
                    {"route", "close", "a"},
                    {"operator", "create", "a"}
                }) {
            assertEquals(1, CtlMain.run(command), String.join(" ", command));
        }
    }

    @Test
    void aPlanListsItsChangesAndShowsANewSecretOnce() throws JsonProcessingException {
        JsonNode plan =
                parseJson(
                        "{'plan_id':'p-1','base_version':7,'secret':'ck_000000000000_x',"
                                + "'changes':['create key 0 of client account hotel'],"
                                + "'touches':['key:0']}");
        Approvals.verify(PlanText.write(plan));
    }

    @Test
    void theStatusOfDataCentersShowsWhoEvacuatedThemAndHowManyProxiesFollow()
            throws JsonProcessingException {
        assertEquals(
                "no data centre is evacuated",
                StatusText.writeEvacuations(parseJson("{'evacuations':[]}")));
        JsonNode status =
                parseJson(
                        "{'evacuations':[{'data_center':'sohar-1','operator':'ann',"
                                + "'requested_unix_ms':1000,'in_force_unix_ms':0,"
                                + "'proxies_in_force':2,'proxies':3},"
                                + "{'data_center':'muscat-1','operator':'ann',"
                                + "'requested_unix_ms':1000,'in_force_unix_ms':2500,"
                                + "'proxies_in_force':3,'proxies':3}]}");
        assertEquals(
                "data centre sohar-1 evacuated by ann at 1970-01-01T00:00:01Z,"
                        + " in force on 2 of 3 proxies\n"
                        + "data centre muscat-1 evacuated by ann at 1970-01-01T00:00:01Z,"
                        + " in force on 3 of 3 proxies,"
                        + " everywhere since 1970-01-01T00:00:02.500Z",
                StatusText.writeEvacuations(status));
    }

    @Test
    void theStatusShowsPrimariesBlockedGroupsAndMissingAcknowledgements()
            throws JsonProcessingException {
        JsonNode status =
                parseJson(
                        "{'version':9,'leader':'control-1',"
                                + "'proxies':[{'id':'proxy-1','data_center':'muscat-1','version':9}],"
                                + "'groups':[{'group':'wash.0','term':2,'primary':'','replacement':"
                                + "'FENCING','reason':'suspected','blocked':'1 of the 2 members'"
                                + ",'members':[{'endpoint':'wash-1','primary':false,'term':1,"
                                + "'data_center':'muscat-1','announced':false}]}],"
                                + "'changes':[{'version':8,'operator':'root','accepted_unix_ms':1000"
                                + ",'in_force_unix_ms':1040},{'version':9,'operator':'failover',"
                                + "'accepted_unix_ms':2000,'in_force_unix_ms':0,"
                                + "'not_acknowledged':['proxy-2/1']}]}");
        Approvals.verify(StatusText.write(status));
    }
}

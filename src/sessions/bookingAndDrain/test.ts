import { patchPolicyLog } from "../../policy/patchPolicyLog";
import { compareGolden } from "../../testing/compareGolden";
import { createIdSource } from "../../testing/createIdSource";
import { createTwoServicePolicy, deskRoutes, storeRoutes } from "../../testing/createTwoServiceGraph";
import { CollectingSink, FakeCallRequest } from "../../testing/fakeExchange";
import { SessionLog } from "../../testing/sessionLog";
import { VirtualClock } from "../../testing/virtualClock";
import { VirtualGraph } from "../../testing/virtualGraph";

/** Creates a graph with a session log; `send` logs a direct request and its answer under the given name. */
const createSession = () => {
    const clock = new VirtualClock();
    const log = new SessionLog(clock.readMonotonicMs);
    const graph = new VirtualGraph({
        clock,
        policy: createTwoServicePolicy(),
        upstreamRoutes: { desk: deskRoutes, store: storeRoutes },
        seed: 7,
        recordRun: run => log.recordRun(run),
        recordAudit: entry => log.recordAudit(entry),
    });
    const createId = createIdSource(graph.clock, 5);
    const send = (name: string, endpoint: string, method: string, key?: string): FakeCallRequest => {
        const sink = new CollectingSink(answer => log.recordAnswer(name, answer));
        const headers = key === undefined ? [] : ["idempotency-key", key];
        const path = method === "GET" ? "/items/1" : "/bookings";
        const request = new FakeCallRequest(method, path, headers, undefined, sink);
        log.write("send", { request: name, endpoint, method, key: key?.slice(-4) });
        graph.send(endpoint, request);
        return request;
    };
    return { log, graph, createId, send };
};

describe("a session with a duplicate booking, an overload, a policy patch, a policy fork and a drain", () => {
    it("writes the log of the golden file", () => {
        const { log, graph, createId, send } = createSession();
        const { clock } = graph;
        clock.runUntil(5_000);

        const key = createId();
        send("booking", "desk-a", "POST", key);
        clock.runUntil(5_020);
        send("booking-again", "desk-b", "POST", key);
        clock.runUntil(5_500);
        send("booking-late", "desk-b", "POST", key);
        clock.runUntil(6_000);

        Array.from({ length: 8 }, (unused, index) => send(`look-up-${index}`, "desk-a", "GET"));
        send("booking-in-crowd", "desk-a", "POST", createId());
        clock.runUntil(7_000);

        const patch = [{ op: "replace", path: "/services/store/queue/maxLength", value: 5 }];
        const changeMetadata = { author: "aida", time: "2026-01-01T00:00:07.000Z", reason: "longer queue" };
        const patched = patchPolicyLog(graph.policyLog, 1, patch, changeMetadata);
        const conflictingPatch = [{ op: "replace", path: "/services/store/queue/maxLength", value: 9 }];
        const forked = patchPolicyLog(graph.policyLog, 1, conflictingPatch, { ...changeMetadata, author: "berik" });
        if (!patched.ok || !forked.ok) {
            throw new Error("a policy patch of the session is invalid");
        }
        graph.publishPolicy(patched.value, 2);
        graph.publishPolicy(graph.policyLog, 1, ["desk-a"]);
        graph.publishPolicy(forked.value, 3, ["desk-b"]);
        log.write("in-force", {
            deskA: graph.getEndpoint("desk-a").core.policy.inForce?.version,
            deskB: graph.getEndpoint("desk-b").core.policy.inForce?.digest.slice(0, 8),
            storeA: graph.getEndpoint("store-a").core.policy.inForce?.digest.slice(0, 8),
        });

        send("look-up-in-flight", "desk-a", "GET");
        clock.runUntil(7_010);
        graph.getEndpoint("desk-a").core.lifecycle.handle("stopRequested");
        send("look-up-while-leaving", "desk-a", "GET");
        clock.runUntil(8_000);
        log.write("pending", { deskA: graph.getEndpoint("desk-a").core.ingress.pendingCount });

        compareGolden(`${__dirname}/session.golden.txt`, log.render());
    });
});

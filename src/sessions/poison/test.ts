import {
    createTwoServiceGraph,
    createTwoServicePolicy,
    type TwoServiceGraph,
} from "../../testing/createTwoServiceGraph";
import { type ReceivedAnswer } from "../../testing/fakeExchange";

const poisonPath = "/items/poison";

const createCrashingGraph = (): TwoServiceGraph => {
    const session = createTwoServiceGraph(createTwoServicePolicy(40, 20));
    session.graph.endpoints.forEach(({ upstream }) => upstream.updateCrashPath(poisonPath));
    return session;
};

const countCrashes = ({ graph }: TwoServiceGraph): number =>
    [...graph.endpoints.values()].reduce((sum, { upstream }) => sum + upstream.crashes, 0);

/** Sends a request to the desk instances in turn, 1.5 s apart, like a caller that keeps retrying. */
const sendRepeatedly = (session: TwoServiceGraph, count: number, path: string): readonly ReceivedAnswer[] =>
    [...Array(count).keys()].flatMap(index => {
        const received = session.send(index % 2 === 0 ? "desk-a" : "desk-b", "GET", undefined, path);
        session.clock.runUntil(session.clock.readMonotonicMs() + 1_500);
        return received;
    });

describe("a request that crashes each upstream that runs it", () => {
    it("crashes at most two upstreams, even if it is retried in another failure domain", () => {
        const session = createCrashingGraph();
        const answers = sendRepeatedly(session, 10, poisonPath);
        expect(countCrashes(session)).toBe(2);
        expect(answers.map(answer => answer.head?.status).slice(-1)).toEqual([503]);
        expect(answers[answers.length - 1]!.body).toContain("urn:pomelovalve:quarantined");
        expect(answers[answers.length - 1]!.head!.rawHeaders).toContain("60");
    });

    it("crashes two upstreams in each failure domain during a partition between them", () => {
        const session = createCrashingGraph();
        session.graph.updatePartition("zone-a", "zone-b", true);
        sendRepeatedly(session, 10, poisonPath);
        expect(countCrashes(session)).toBe(4);
    });

    it("fails no other request once it is quarantined, not even one that was in flight at every crash", () => {
        const session = createCrashingGraph();
        const answers: (readonly ReceivedAnswer[])[] = [];
        Array.from({ length: 20 }, () => {
            session.send("desk-a", "GET", undefined, poisonPath);
            answers.push(session.send("desk-a", "GET"), session.send("desk-b", "GET"));
            session.clock.runUntil(session.clock.readMonotonicMs() + 1_500);
        });
        const lastStatuses = answers.slice(-20).map(received => received[0]?.head?.status);
        expect(lastStatuses.filter(status => status === 200)).toHaveLength(20);
        expect(countCrashes(session)).toBe(2);
    });

    it("is admitted again after a minute, since its cause may have been fixed", () => {
        const session = createCrashingGraph();
        sendRepeatedly(session, 4, poisonPath);
        session.graph.endpoints.forEach(({ upstream }) => upstream.updateCrashPath(undefined));
        session.clock.runUntil(session.clock.readMonotonicMs() + 61_000);
        const [answer] = sendRepeatedly(session, 1, poisonPath);
        expect(answer!.head!.status).toBe(200);
    });
});

describe("a leaving instance", () => {
    it("notifies its callers before their next request", () => {
        const session = createTwoServiceGraph(createTwoServicePolicy(40, 20));
        const { graph, clock, send } = session;
        send("desk-a", "GET");
        clock.runUntil(clock.readMonotonicMs() + 1_000);
        graph.getEndpoint("store-a").core.lifecycle.handle("stopRequested");
        clock.runUntil(clock.readMonotonicMs() + 5);
        const candidates = graph.getEndpoint("desk-a").core.directory.listCandidates("store");
        expect(candidates.find(candidate => candidate.endpoint === "store-a")!.leaving).toBe(true);
        send("desk-a", "GET");
        clock.runUntil(clock.readMonotonicMs() + 1_000);
        expect(graph.getEndpoint("store-a").core.metrics.listRefusals()).toEqual({});
    });
});

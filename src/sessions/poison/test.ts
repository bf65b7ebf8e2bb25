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

/** Sends a request to the desks in turn, as a caller does who does not give up. */
const sendAgainAndAgain = (session: TwoServiceGraph, times: number, path: string): readonly ReceivedAnswer[] =>
    [...Array(times).keys()].flatMap(index => {
        const received = session.send(index % 2 === 0 ? "desk-a" : "desk-b", "GET", undefined, path);
        session.clock.runUntil(session.clock.readMonotonicMs() + 1_500);
        return received;
    });

describe("a request that crashes each upstream that runs it", () => {
    it("kills two upstreams at most, in whichever failure domain it is sent again", () => {
        const session = createCrashingGraph();
        const answers = sendAgainAndAgain(session, 10, poisonPath);
        expect(countCrashes(session)).toBe(2);
        expect(answers.map(answer => answer.head?.status).slice(-1)).toEqual([503]);
        expect(answers[answers.length - 1]!.body).toContain("urn:pomelovalve:quarantined");
        expect(answers[answers.length - 1]!.head!.rawHeaders).toContain("60");
    });

    it("kills two in each part of the fleet while failure domains are cut off from each other", () => {
        const session = createCrashingGraph();
        session.graph.updatePartition("zone-a", "zone-b", true);
        sendAgainAndAgain(session, 10, poisonPath);
        expect(countCrashes(session)).toBe(4);
    });

    it("harms no other request, not even one that is under way at every crash", () => {
        const session = createCrashingGraph();
        const answers: (readonly ReceivedAnswer[])[] = [];
        Array.from({ length: 20 }, () => {
            session.send("desk-a", "GET", undefined, poisonPath);
            answers.push(session.send("desk-a", "GET"), session.send("desk-b", "GET"));
            session.clock.runUntil(session.clock.readMonotonicMs() + 1_500);
        });
        const late = answers.slice(-20).map(received => received[0]?.head?.status);
        expect(late.filter(status => status === 200)).toHaveLength(20);
        expect(countCrashes(session)).toBe(2);
    });

    it("is let through again after a minute, when it may have been mended", () => {
        const session = createCrashingGraph();
        sendAgainAndAgain(session, 4, poisonPath);
        session.graph.endpoints.forEach(({ upstream }) => upstream.updateCrashPath(undefined));
        session.clock.runUntil(session.clock.readMonotonicMs() + 61_000);
        const [answer] = sendAgainAndAgain(session, 1, poisonPath);
        expect(answer!.head!.status).toBe(200);
    });
});

describe("an instance that leaves", () => {
    it("tells those who have called it before their next call", () => {
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

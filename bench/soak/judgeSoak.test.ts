import { judgeSoak } from "./judgeSoak";
import { type Disruption, type SoakCall, type SoakRecord } from "./types";

const createCall = (changes: Partial<SoakCall> = {}): SoakCall => ({
    requestId: "r-1",
    node: "node-1",
    route: "added",
    idempotent: false,
    sentAtMs: 20_000,
    endedAtMs: 20_010,
    status: 200,
    isWhole: true,
    ...changes,
});

const createRecord = (changes: Partial<SoakRecord> = {}): SoakRecord => ({
    calls: [],
    runs: [],
    routes: [{ name: "added", addedAtMs: 10_000, removedAtMs: Infinity }],
    leavings: [],
    disruptions: [],
    probes: [],
    exits: [],
    ...changes,
});

const createDisruption = (place: string, fromMs: number, toMs: number): Disruption => ({
    place,
    fromMs,
    toMs,
    kind: "cut",
});

const listRules = (record: SoakRecord): readonly string[] => judgeSoak(record).map(({ rule }) => rule);

describe("judgeSoak", () => {
    it("finds a route that isn't in force two seconds after it was added", () => {
        const calls = [createCall({ status: 404, sentAtMs: 12_001, endedAtMs: 12_002 })];
        expect(listRules(createRecord({ calls }))).toEqual(["CONFIG"]);
        expect(listRules(createRecord({ calls: [createCall({ status: 404, sentAtMs: 11_990 })] }))).toEqual([]);
    });

    it("finds a node that returns to an older configuration", () => {
        const calls = [
            createCall({ sentAtMs: 10_300, endedAtMs: 10_320 }),
            createCall({ status: 404, sentAtMs: 10_600, endedAtMs: 10_601 }),
        ];
        expect(listRules(createRecord({ calls }))).toEqual(["CONFIG"]);
    });

    it("finds a removed route that is still served", () => {
        const routes = [{ name: "added", addedAtMs: 1_000, removedAtMs: 15_000 }];
        expect(listRules(createRecord({ calls: [createCall()], routes }))).toEqual(["CONFIG"]);
    });

    it("finds a request that reaches an upstream later than two seconds after it said that it leaves", () => {
        const leavings = [{ upstreamId: "i-1", ackAtMs: 17_900 }];
        const createRun = (atMs: number) => ({ requestId: "r-1", upstreamId: "i-1", node: "node-2", atMs });
        expect(listRules(createRecord({ calls: [createCall()], runs: [createRun(20_005)], leavings }))).toEqual([
            "DRAIN",
        ]);
        expect(listRules(createRecord({ calls: [createCall()], runs: [createRun(19_890)], leavings }))).toEqual([]);
    });

    it("judges no time bound within three seconds of a disruption of the node or of the store", () => {
        const calls = [createCall({ status: 404 })];
        const judgeAfter = (place: string, toMs: number): readonly string[] =>
            listRules(createRecord({ calls, disruptions: [createDisruption(place, 11_000, toMs)] }));
        expect(judgeAfter("node-1", 17_100)).toEqual([]);
        expect(judgeAfter("store", 17_100)).toEqual([]);
        expect(judgeAfter("node-2", 17_100)).toEqual(["CONFIG"]);
        expect(judgeAfter("node-1", 16_900)).toEqual(["CONFIG"]);
    });

    it("finds requests that have run twice, false refusals and foreign bodies, whatever is disturbed", () => {
        const run = { requestId: "r-1", upstreamId: "i-1", node: "node-2", atMs: 20_005 };
        const disruptions = [createDisruption("store", 0, 60_000)];
        const judgeOne = (call: Partial<SoakCall>, runs: SoakRecord["runs"]): readonly string[] =>
            listRules(createRecord({ calls: [createCall(call)], runs, disruptions }));
        expect(judgeOne({}, [run, run])).toEqual(["TWICE"]);
        expect(judgeOne({ status: 503 }, [run])).toEqual(["REFUSED"]);
        expect(judgeOne({ isWhole: false }, [run])).toEqual(["MIXED"]);
        expect(judgeOne({ idempotent: true, status: 503 }, [run, run])).toEqual([]);
    });

    it("finds processes that end by themselves, and nodes that don't become ready", () => {
        const probes = Array.from({ length: 30 }, (unused, index) => ({
            node: "node-1",
            atMs: 20_000 + 500 * index,
            isReady: false,
        }));
        expect(listRules(createRecord({ probes, exits: ["node-1 ended by itself"] }))).toEqual(["EXIT", "READY"]);
    });
});

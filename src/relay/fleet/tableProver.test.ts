/** Load pattern: a fleet whose requests carry keys, while nodes are cut off from the store or from each other. */
import { type TrackerNode, VirtualTrackers } from "../../testing/virtualTrackers";

/** Age above which no key is accepted; a withdrawn key must not be used later, in milliseconds. */
const maxUseAgeMs = 4_750;
/** Age that nodes may reach while the store answers some node that they reach, in milliseconds. */
const reachableAgeMs = 3_000;

let fleet: VirtualTrackers;

afterEach(() => fleet.stop());

const startFleet = async (count: number): Promise<VirtualTrackers> => {
    fleet = new VirtualTrackers(count);
    fleet.store.organisations = [{ name: "org-1", keyDigests: [] }];
    await fleet.runFor(12_000);
    return fleet;
};

/** Runs the fleet and returns the highest age that any of the nodes had meanwhile. */
const measureMaxAge = async (nodes: readonly TrackerNode[], durationMs: number): Promise<number> => {
    let maxAgeMs = 0;
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 100) {
        await fleet.runFor(100);
        maxAgeMs = Math.max(maxAgeMs, ...nodes.map(({ tracker }) => tracker.readTableAgeMs()));
    }
    return maxAgeMs;
};

const countCalmCalls = async (count: number): Promise<number> => {
    const { store } = await startFleet(count);
    const before = store.callCount;
    await fleet.runFor(20_000);
    fleet.stop();
    return store.callCount - before;
};

const isInDomainA = ({ failureDomain }: TrackerNode): boolean => failureDomain === "a";

describe("the age of the routing table", () => {
    it("stays low on all nodes, with no more calls to the store for more nodes", async () => {
        const { nodes } = await startFleet(20);
        expect(await measureMaxAge(nodes, 10_000)).toBeLessThan(reachableAgeMs);
        fleet.stop();
        const [few, many] = [await countCalmCalls(20), await countCalmCalls(80)];
        expect(many).toBeLessThanOrEqual(few * 1.2);
    });

    it("stays low on nodes that the store turns away while it serves others", async () => {
        const { nodes, store } = await startFleet(40);
        const turnedAway = new Set(nodes.filter((unused, index) => index % 3 === 0).map(({ host }) => host));
        store.isTurnedAway = host => turnedAway.has(host);
        expect(await measureMaxAge(nodes, 10_000)).toBeLessThan(maxUseAgeMs);
    });

    it("stays low in a failure domain that the store turns away but that reaches another one", async () => {
        const { nodes, store } = await startFleet(40);
        const domain = nodes.filter(isInDomainA);
        store.isTurnedAway = host => domain.some(node => node.host === host);
        expect(await measureMaxAge(nodes, 10_000)).toBeLessThan(maxUseAgeMs);
    });

    it("stays low in a failure domain that is cut off from the other one but reaches the store", async () => {
        const { nodes } = await startFleet(40);
        const domain = nodes.filter(isInDomainA).map(({ host }) => host);
        fleet.isCut = (from, to) => domain.includes(from) !== domain.includes(to);
        expect(await measureMaxAge(nodes, 10_000)).toBeLessThan(reachableAgeMs);
    });

    it("grows without bound on nodes that reach neither the store nor others, and is low again after the cut", async () => {
        const { nodes, store } = await startFleet(40);
        const alone = nodes[5]!;
        store.isTurnedAway = host => host === alone.host;
        fleet.isCut = (from, to) => (from === alone.host) !== (to === alone.host);
        await fleet.runFor(9_500);
        expect(alone.tracker.readTableAgeMs()).toBeGreaterThan(9_000);
        expect(await measureMaxAge(nodes.filter(node => node !== alone), 1_000)).toBeLessThan(reachableAgeMs);
        store.isTurnedAway = () => false;
        fleet.isCut = () => false;
        await fleet.runFor(2_000);
        expect(alone.tracker.readTableAgeMs()).toBeLessThan(reachableAgeMs);
    });

    it("is known at once on nodes that restart, and unknown while they reach nobody", async () => {
        const { nodes, store } = await startFleet(20);
        const restarted = fleet.startNode(3);
        await fleet.runFor(500);
        expect(restarted.tracker.readTableAgeMs()).toBeLessThan(reachableAgeMs);
        store.isTurnedAway = () => true;
        nodes.forEach(node => node.isSilent = true);
        const unaware = fleet.startNode(4);
        await fleet.runFor(2_000);
        expect(unaware.tracker.readTableAgeMs()).toBe(Infinity);
    });

    it("isn't proved by a store that has come back from a copy with an older table", async () => {
        const { nodes, store } = await startFleet(20);
        store.recordCopy();
        store.publishVersion(2);
        await fleet.runFor(2_000);
        store.adoptCopy();
        await fleet.runFor(6_000);
        nodes.forEach(node => {
            expect(node.table?.version).toBe(2);
            expect(node.tracker.readTableAgeMs()).toBeGreaterThan(maxUseAgeMs);
        });
        store.publishVersion(2);
        await fleet.runFor(3_000);
        nodes.forEach(node => expect(node.tracker.readTableAgeMs()).toBeLessThan(reachableAgeMs));
    });
});

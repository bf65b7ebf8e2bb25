/** Load pattern: the store lists entries whose hosts have no node, or one that never answers. */
import { VirtualTrackers } from "../../testing/virtualTrackers";

const adoptionMs = 2_000;
const nodeCount = 20;
const ghostCount = 20;

let fleet: VirtualTrackers;

afterEach(() => fleet.stop());

const startFleet = async (): Promise<void> => {
    fleet = new VirtualTrackers(nodeCount);
    await fleet.runFor(12_000);
};

const addGhosts = (): void => {
    for (let index = 0; index < ghostCount; index += 1) {
        fleet.store.write(fleet.createRecord(100 + index, { id: `ghost-${index}`, host: `10.9.0.${index}` }));
    }
};

const measureMaxDelay = async (): Promise<number> => {
    let maxDelayMs = 0;
    for (let version = 2; version < 14; version += 1) {
        fleet.store.publishVersion(version);
        let delayMs = 0;
        while (fleet.nodes.some(({ table }) => table?.version !== version) && delayMs < 10_000) {
            await fleet.runFor(50);
            delayMs += 50;
        }
        maxDelayMs = Math.max(maxDelayMs, delayMs);
        await fleet.runFor(700);
    }
    return maxDelayMs;
};

const countCalls = async (): Promise<number> => {
    const before = fleet.store.callCount;
    await fleet.runFor(30_000);
    return fleet.store.callCount - before;
};

describe("a fleet with entries that have no node behind them", () => {
    // Guards against nodes that learn late because they wait for hosts that never answer.
    it("learns each change in time", async () => {
        await startFleet();
        addGhosts();
        expect(await measureMaxDelay()).toBeLessThanOrEqual(adoptionMs);
    });

    // Guards against a fleet whose nodes all read the store because the nodes to ask don't exist.
    it("makes few more calls to the store than without them", async () => {
        await startFleet();
        const before = await countCalls();
        addGhosts();
        await fleet.runFor(30_000);
        expect(await countCalls()).toBeLessThanOrEqual(before * 3);
    });
});

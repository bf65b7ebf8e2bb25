import { VirtualClock } from "../../testing/virtualClock";
import { createInstances, createSettings } from "../../testing/virtualGraph";
import { Directory } from "./index";

const createDirectory = () => {
    const clock = new VirtualClock();
    const directory = new Directory(clock);
    const instances = createInstances([
        createSettings("desk-a", "desk", "zone-a", 0),
        createSettings("desk-b", "desk", "zone-b", 1),
    ]);
    directory.updateInstances(instances);
    const getCandidate = (endpoint: string) =>
        directory.listCandidates("desk").find(candidate => candidate.endpoint === endpoint)!;
    const advanceClock = (ms: number): void => clock.runUntil(clock.readMonotonicMs() + ms);
    return { directory, instances, getCandidate, advanceClock };
};

describe("Directory", () => {
    it("prefers its own observations to the instance list until they expire", () => {
        const { directory, instances, getCandidate, advanceClock } = createDirectory();
        directory.recordLeaving("desk-a");
        directory.recordUnreachable("desk-b");
        directory.updateInstances(instances);
        expect([getCandidate("desk-a").leaving, getCandidate("desk-b").isOutlier]).toEqual([true, true]);
        advanceClock(1_001);
        expect([getCandidate("desk-a").leaving, getCandidate("desk-b").isOutlier]).toEqual([true, false]);
        advanceClock(14_000);
        expect(getCandidate("desk-a").leaving).toBe(false);
    });

    it("uses a reported load for half a second", () => {
        const { directory, getCandidate, advanceClock } = createDirectory();
        directory.recordAnswer("desk-a", 1, false);
        expect(getCandidate("desk-a").load).toBe(1);
        advanceClock(501);
        expect(getCandidate("desk-a").load).toBe(0);
    });

    it("lists a caller for a minute and ignores callers that are not in the instance list", () => {
        const { directory, advanceClock } = createDirectory();
        directory.recordCaller("desk-b");
        directory.recordCaller("made-up");
        expect(directory.listCallers().map(({ endpoint }) => endpoint)).toEqual(["desk-b"]);
        advanceClock(60_001);
        expect(directory.listCallers()).toEqual([]);
    });
});

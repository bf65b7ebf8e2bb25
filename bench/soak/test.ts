import { spawnSync } from "node:child_process";
import { cpSync, mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { oddEntryKinds } from "../../platform/testing/oddEntries";
import { runSoak } from "./index";
import { type SoakBounds } from "./judgeSoak";
import { soakKinds } from "./types";

const root = `${__dirname}/../..`;
/** A change is in force within 8 s; other tests run beside this one. */
const bounds: SoakBounds = { adoptionMs: 8_000, drainMs: 8_000 };

jest.setTimeout(200_000);

let workTree: string;

beforeAll(() => {
    workTree = mkdtempSync(`${tmpdir()}/pomelovalve-`);
    cpSync(`${root}/deploy`, `${workTree}/deploy`, { recursive: true });
    const built = spawnSync(process.execPath, [`${root}/scripts/buildTarget.mjs`, `${workTree}/target`]);
    expect(built.status).toBe(0);
});

afterAll(() => rmSync(workTree, { recursive: true }));

describe("a fleet of real processes", () => {
    // Guards against nodes that stop learning after an odd entry (CONFIG, DRAIN) and pass for current.
    it("keeps its promises through odd entries, changes, leavings and disruptions", async () => {
        const { record, faults } = await runSoak({
            seed: 39,
            seconds: 60,
            nodes: 16,
            kinds: [...soakKinds, "odd", "odd", "odd", "config", "config"],
            entryKinds: Object.keys(oddEntryKinds),
            workTrees: [workTree],
            firstPort: 24_800,
            outFolder: `${workTree}/soak`,
            bounds,
        });
        expect(faults.slice(0, 5)).toEqual([]);
        expect(record.calls.filter(({ status }) => status === 200).length).toBeGreaterThan(1_000);
    });
});

import { type UpstreamState } from "../../routing/types";
import { createUpstreamRecord } from "../../testing/createRoute";
import { listUsable } from "./listUsable";

const listUsableIds = (states: readonly UpstreamState[]): string => {
    const records = states.map((state, index) => createUpstreamRecord({ id: `${index}`, port: index, state }));
    return listUsable(records).map(({ id }) => id).join(",");
};

describe("listUsable", () => {
    it("leaves out draining upstreams", () => {
        expect(listUsableIds(["ready", "draining"])).toBe("0");
    });

    // Guards against requests to an upstream whose entry is gone since it has left.
    it("leaves out a few missing upstreams of a service", () => {
        expect(listUsableIds(["ready", "missing", "ready"])).toBe("0,2");
        expect(listUsableIds(["ready", "missing"])).toBe("0");
    });

    it("uses missing upstreams while most of their service are missing", () => {
        expect(listUsableIds(["missing", "ready", "missing"])).toBe("0,1,2");
        expect(listUsableIds(["missing"])).toBe("0");
    });
});

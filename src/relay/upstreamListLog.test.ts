import { createLogCollector } from "../testing/createLogCollector";
import { createUpstreamRecord } from "../testing/createRoute";
import { EventLog } from "./log";
import { UpstreamListLog } from "./upstreamListLog";

const createListLog = () => {
    const { logger, lines } = createLogCollector();
    const log = new EventLog(logger, () => 0);
    const readLine = () => lines.filter(({ msg }) => msg === "upstreams-read").at(-1);
    return { log, listLog: new UpstreamListLog(log), readLine };
};

const origin = { place: "10.0.0.9", position: { era: 2, revision: 71 } };

describe("UpstreamListLog", () => {
    it("says which upstreams no longer take requests, which are kept, and where the list comes from", () => {
        const { listLog, readLine } = createListLog();
        const records = ["a", "b", "c"].map(id => createUpstreamRecord({ id }));
        listLog.write(records, origin, "a");
        expect(readLine()).toMatchObject({ total: 3, ready: 3, ownId: "a", place: "10.0.0.9", era: 2, revision: 71 });
        expect(readLine()).not.toHaveProperty("left");
        listLog.write(
            [
                records[0]!,
                createUpstreamRecord({ id: "b", state: "draining" }),
                createUpstreamRecord({ id: "c", state: "missing" }),
            ],
            origin,
            "a",
        );
        expect(readLine()).toMatchObject({ total: 3, ready: 1, left: "b,c", kept: "c" });
    });

    it("is not displaced by lines about requests", () => {
        const { log, listLog, readLine } = createListLog();
        Array.from({ length: 100 }, () => log.write("request-refused", {}));
        listLog.write([createUpstreamRecord({ id: "a" })], origin, undefined);
        expect(readLine()).toMatchObject({ total: 1 });
    });
});

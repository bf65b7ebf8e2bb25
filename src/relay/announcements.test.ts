import { createLogCollector } from "../testing/createLogCollector";
import { testHeaderNames } from "../testing/startRelayFleet";
import { AnnouncementReader, parseRateLimit } from "./announcements";
import { EventLog } from "./log";

const { rateLimit, upstreamLeaving } = testHeaderNames;

const createReader = () => {
    const { logger, lines } = createLogCollector();
    return { lines, reader: new AnnouncementReader(testHeaderNames, new EventLog(logger, () => 0)) };
};

describe("AnnouncementReader", () => {
    it("reads limits and leavings, and logs each change once", () => {
        const { reader, lines } = createReader();
        expect(reader.read([])).toEqual({ ratePerSecond: undefined, isLeaving: false });
        expect(reader.read([rateLimit, "8.25"])).toEqual({ ratePerSecond: 8.25, isLeaving: false });
        reader.read([rateLimit, "8.25"]);
        expect(reader.read([rateLimit, "8.25", upstreamLeaving, "1"]).isLeaving).toBe(true);
        expect(lines.map(({ msg, ratePerSecond, leaving }) => ({ msg, ratePerSecond, leaving }))).toEqual([
            { msg: "upstream-announces", ratePerSecond: 8.25, leaving: false },
            { msg: "upstream-announces", ratePerSecond: 8.25, leaving: true },
        ]);
    });

    it("logs a limit that can't be read, and takes it for none", () => {
        const { reader, lines } = createReader();
        expect(reader.read([rateLimit, "many"]).ratePerSecond).toBeUndefined();
        expect(lines[0]).toMatchObject({ msg: "limit-unreadable", value: "many" });
    });
});

describe("parseRateLimit", () => {
    it("accepts decimal numbers only", () => {
        expect(["0", "9.8", " 12 "].map(parseRateLimit)).toEqual([0, 9.8, 12]);
        ["", "-1", "1e9", "Infinity", "0x10", "1,5", "9".repeat(400)].forEach(text =>
            expect(parseRateLimit(text)).toBeUndefined()
        );
    });
});

import { once } from "node:events";
import { createServer } from "node:http";
import { type AddressInfo } from "node:net";
import { Pool } from "undici";
import { createSettings } from "../../testing/virtualGraph";
import { systemClock } from "../_lib/clock";
import { type AuditEvent, MessageBus } from "../messages";
import { HttpPlatform, parseInstances, type Platform, type PlatformRead, PlatformTask } from "./index";

const createAddress = (port: number, host = "10.0.0.1") => ({ host, port });
const instance = {
    endpoint: "desk-a",
    service: "desk",
    failureDomain: "zone-a",
    peer: createAddress(1),
    control: createAddress(2),
    state: "live",
};
const policyKey = "policy";
const nestedText = "[".repeat(60_000) + "]".repeat(60_000);

describe("parseInstances", () => {
    // Guards against a node that keeps an old list, or connects to what can't be, because of one odd item.
    it.each([
        ["a nested item", JSON.stringify([instance, "ODD", instance]).replace('"ODD"', () => nestedText)],
        ["a port out of range", JSON.stringify([instance, { ...instance, peer: createAddress(99_999) }, instance])],
        [
            "a host that is no address",
            JSON.stringify([instance, { ...instance, control: createAddress(1, "999.1.1.1") }, instance]),
        ],
        ["an unknown state", JSON.stringify([instance, { ...instance, state: "odd" }, instance])],
    ])("gives the other instances of a list with %s", (unused, text) => {
        const parsed = parseInstances(text);
        expect(parsed).toMatchObject({ ok: true, value: { instances: [instance, instance] } });
        expect(parsed.ok && parsed.value.faults.map(({ path }) => path.slice(0, 4))).toEqual(["$[1]"]);
    });

    it.each(["", "5", "{}", `{"a":${nestedText}}`])("returns faults for a text that is no list", text => {
        expect(parseInstances(text).ok).toBe(false);
    });
});

/** A platform whose reads of one key return given results, and then wait. */
class FakePlatform implements Platform {
    constructor(private readonly results: PlatformRead[]) {}

    read(key: string): Promise<PlatformRead> {
        const result = key === policyKey ? this.results.shift() : undefined;
        return result ? Promise.resolve(result) : new Promise(() => undefined);
    }

    close(): Promise<void> {
        return Promise.resolve();
    }
}

const createValue = (revision: number, text: string): PlatformRead => ({ kind: "value", value: { revision, text } });

describe("PlatformTask", () => {
    // Guards against a node that ends, or reads nothing more, because one value could not be handled.
    it("reports a value that can't be handled, and passes the next one on", async () => {
        const bus = new MessageBus();
        const audits: AuditEvent[] = [];
        const revisions: number[] = [];
        bus.subscribe("audited", ({ audit }) => audits.push(audit));
        bus.subscribe("policyLogRead", ({ revision }) => {
            revisions.push(revision);
            if (revision === 1) {
                throw new Error("can't be handled");
            }
        });
        const platform = new FakePlatform([createValue(1, "a"), { kind: "unchanged" }, createValue(2, "b")]);
        const settings = {
            ...createSettings("desk-a", "desk", "zone-a", 0).platform,
            policyKey,
            instancesKey: "instances",
        };
        const task = new PlatformTask(platform, settings, bus, () => 0, systemClock);
        task.start();
        for (let poll = 0; poll < 200 && revisions.length < 2; poll += 1) {
            await new Promise(resolve => setTimeout(resolve, 10));
        }
        await task.stop();
        expect(revisions).toEqual([1, 2]);
        expect(audits.filter(({ event }) => event === "learning-failed").map(({ fields }) => fields["task"])).toEqual([
            "policy",
        ]);
    });
});

describe("HttpPlatform", () => {
    // Guards against a loop without a pause, since no revision compares as newer than NaN.
    it.each([undefined, "x", "1.5", "1e400"])("fails when the revision is %p", async revision => {
        const server = createServer((request, response) => {
            response.writeHead(200, revision === undefined ? {} : { "x-revision": revision }).end("text");
        });
        server.listen(0, "127.0.0.1");
        await once(server, "listening");
        const origin = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
        const platform = new HttpPlatform(origin, new Pool(origin));
        expect(await platform.read("key", 0, 0)).toMatchObject({ kind: "unreachable" });
        await platform.close();
        server.close();
    });
});

describe("MessageBus", () => {
    // Guards against a task that misses a message because the handler of another task has thrown.
    it("delivers a message to all handlers when one of them throws", () => {
        const bus = new MessageBus();
        const received: string[] = [];
        bus.subscribe("leavingReported", () => {
            throw new Error("thrown by a handler");
        });
        bus.subscribe("leavingReported", ({ endpoint }) => received.push(endpoint));
        expect(() => bus.publish({ kind: "leavingReported", endpoint: "desk-a" })).toThrow("thrown by a handler");
        expect(() => bus.publish({ kind: "leavingReported", endpoint: "desk-b" })).toThrow("thrown by a handler");
        expect(received).toEqual(["desk-a", "desk-b"]);
    });
});

/** Reads the policy log and the instance list from the platform's key-value service, and watches them. */
import { type Pool, request } from "undici";
import { z } from "zod";
import { checkShape } from "../../_lib/checkShape";
import { portSchema } from "../../_lib/numberSchemas";
import { parseJson } from "../../_lib/parseJson";
import { readLimitedText } from "../../_lib/readLimitedText";
import { platformLongPollMs, platformRequestTimeoutMs, platformRetryMaxMs, platformRetryMinMs } from "../../constants";
import { type Settings } from "../../settings/types";
import { type Checked, type Fault, type Instance } from "../../types";
import { type Clock } from "../_lib/clock";
import { SupervisedLoop } from "../_lib/supervisedLoop";
import { createLearningFailure, type MessageBus } from "../messages";

/** Value of a key, with the revision that wrote it. */
export interface PlatformValue {
    readonly revision: number;
    readonly text: string;
}

/** Result of a read; "unchanged": the service has no newer value, or had none until the wait ended. */
export type PlatformRead =
    | { readonly kind: "value"; readonly value: PlatformValue; }
    | { readonly kind: "unchanged"; }
    | { readonly kind: "unreachable"; readonly detail: string; };

/** Client of the platform's key-value service. */
export interface Platform {
    /** Reads the value of a key, waiting up to `waitMs` milliseconds for one newer than a revision. Never rejects. */
    read(key: string, afterRevision: number, waitMs: number): Promise<PlatformRead>;
    /** Aborts pending reads and closes the connections. */
    close(): Promise<void>;
}

const revisionHeader = "x-revision";
const statusOk = 200;
const statusNotModified = 304;
/** Longest answer that is read, in bytes; values are at most 1 MiB. */
const maxAnswerBytes = 16 * 1024 * 1024;
const revisionSchema = z.string().regex(/^\d+$/u, "expected a whole number").transform(Number).pipe(z.int());

/** Reads values over HTTP; the service delays its answer until there is a newer value (long polling). */
export class HttpPlatform implements Platform {
    private readonly closing = new AbortController();

    constructor(private readonly origin: string, private readonly pool: Pool) {}

    async read(key: string, afterRevision: number, waitMs: number): Promise<PlatformRead> {
        try {
            const url = `${this.origin}/v1/values/${encodeURIComponent(key)}?after=${afterRevision}&waitMs=${waitMs}`;
            const answer = await request(url, {
                dispatcher: this.pool,
                signal: this.closing.signal,
                headersTimeout: platformRequestTimeoutMs,
                bodyTimeout: platformRequestTimeoutMs,
            });
            const text = await readLimitedText(answer.body, maxAnswerBytes);
            if (answer.statusCode === statusNotModified) {
                return { kind: "unchanged" };
            }
            if (answer.statusCode !== statusOk) {
                return { kind: "unreachable", detail: `status ${answer.statusCode}` };
            }
            const revision = checkShape(revisionSchema, answer.headers[revisionHeader]);
            return revision.ok
                ? { kind: "value", value: { revision: revision.value, text } }
                : { kind: "unreachable", detail: `${revisionHeader}: ${revision.faults[0]!.message}` };
        }
        catch (error) {
            return { kind: "unreachable", detail: (error as Error).message };
        }
    }

    async close(): Promise<void> {
        this.closing.abort();
        await this.pool.destroy();
    }
}

const addressSchema = z.object({ host: z.ipv4(), port: portSchema });
const instanceSchema: z.ZodType<Instance> = z.object({
    endpoint: z.string(),
    service: z.string(),
    failureDomain: z.string(),
    peer: addressSchema,
    control: addressSchema,
    state: z.enum(["live", "leaving"]),
});
const listSchema = z.array(z.unknown());

/** An instance list as far as it can be read. */
export interface ParsedInstances {
    readonly instances: readonly Instance[];
    /** Faults of the items that are left out, with their paths in the list. */
    readonly faults: readonly Fault[];
}

/** Parses an instance list; items that are not valid are left out. Returns faults if the text is no list. */
export const parseInstances = (text: string): Checked<ParsedInstances> => {
    const parsed = parseJson(text);
    const list = parsed.ok ? checkShape(listSchema, parsed.value) : parsed;
    if (!list.ok) {
        return list;
    }
    const checkedItems = list.value.map(item => checkShape(instanceSchema, item));
    return {
        ok: true,
        value: {
            instances: checkedItems.flatMap(checked => checked.ok ? [checked.value] : []),
            faults: checkedItems.flatMap((checked, index) =>
                checked.ok ? [] : [{ ...checked.faults[0]!, path: `$[${index}]${checked.faults[0]!.path.slice(1)}` }]
            ),
        },
    };
};

/** Time that a read of the platform may take beyond its wait and its timeouts, in milliseconds. */
const turnMarginMs = 5_000;

/** Watches the policy log and the instance list, and publishes each new value and whether the platform is reachable. */
export class PlatformTask {
    private stopped = false;
    private readonly loops: SupervisedLoop[] = [];
    private isReachable: boolean | undefined;

    constructor(
        private readonly platform: Platform,
        private readonly settings: Settings["platform"],
        private readonly bus: MessageBus,
        private readonly sampleRandom: () => number,
        private readonly clock: Clock,
    ) {
        bus.subscribe("paused", () => {
            this.readInstancesNow().catch((error: unknown) => this.recordFailure("instances", error as Error));
        });
    }

    start(): void {
        this.watch(
            "policy",
            this.settings.policyKey,
            value =>
                this.bus.publish({
                    kind: "policyLogRead",
                    text: value.text,
                    revision: value.revision,
                    source: "platform",
                }),
        );
        this.watch("instances", this.settings.instancesKey, value => this.publishInstances(value));
    }

    async stop(): Promise<void> {
        this.stopped = true;
        this.loops.forEach(loop => loop.stop());
        await this.platform.close();
    }

    /** Reads the instance list without waiting for a newer one; retries until the platform returns it. */
    private async readInstancesNow(): Promise<void> {
        for (let failures = 1; !this.stopped; failures += 1) {
            const queriedAtMs = this.clock.readMonotonicMs();
            const read = await this.platform.read(this.settings.instancesKey, 0, 0);
            if (read.kind === "value") {
                this.publishInstances(read.value);
                this.bus.publish({ kind: "instancesConfirmed", queriedAtMs });
                return;
            }
            await this.awaitBackoff(failures);
        }
    }

    private publishInstances({ text, revision }: PlatformValue): void {
        const parsed = parseInstances(text);
        const faults = parsed.ok ? parsed.value.faults : parsed.faults;
        const [fault] = faults;
        if (fault) {
            const fields = { revision, path: fault.path, fault: fault.message, count: faults.length };
            this.bus.publish({ kind: "audited", audit: { event: "instances-unreadable", fields } });
        }
        if (parsed.ok) {
            this.bus.publish({ kind: "instancesRead", instances: parsed.value.instances, revision });
        }
    }

    /** Passes each newer value of a key on, until the task is stopped. A value that can't be handled is reported. */
    private watch(task: string, key: string, onValue: (value: PlatformValue) => void): void {
        let revision = 0;
        let failures = 0;
        const runTurn = async (): Promise<void> => {
            const read = await this.platform.read(key, revision, platformLongPollMs);
            if (this.stopped) {
                return;
            }
            this.publishReachability(read);
            if (read.kind === "unreachable") {
                failures += 1;
                await this.awaitBackoff(failures);
                return;
            }
            failures = 0;
            if (read.kind === "value" && read.value.revision > revision) {
                revision = read.value.revision;
                onValue(read.value);
            }
        };
        const maxTurnMs = platformLongPollMs + 2 * platformRequestTimeoutMs + platformRetryMaxMs + turnMarginMs;
        const onFailed = (error: Error): void => this.recordFailure(task, error);
        const loop = new SupervisedLoop(runTurn, { clock: this.clock, maxTurnMs, onFailed });
        this.loops.push(loop);
        loop.start();
    }

    private recordFailure(task: string, error: Error): void {
        this.bus.publish(createLearningFailure(task, error));
    }

    private publishReachability(read: PlatformRead): void {
        const reached = read.kind !== "unreachable";
        if (reached === this.isReachable) {
            return;
        }
        this.isReachable = reached;
        const detail = read.kind === "unreachable" ? read.detail : "";
        this.bus.publish({ kind: "platformReached", reached, detail });
    }

    /** Waits before the next read: exponential backoff with jitter, so that nodes don't retry at the same time. */
    private awaitBackoff(failures: number): Promise<void> {
        const maxDelayMs = Math.min(platformRetryMaxMs, platformRetryMinMs * 2 ** Math.min(failures, 10));
        const delayMs = platformRetryMinMs + this.sampleRandom() * (maxDelayMs - platformRetryMinMs);
        return new Promise(resolve => {
            setTimeout(resolve, delayMs).unref();
        });
    }
}

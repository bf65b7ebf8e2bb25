/** Reads the policy log and the instance list from the platform's key-value service, and watches them. */
import { type Pool, request } from "undici";
import { z } from "zod";
import { checkShape } from "../../_lib/checkShape";
import { parseJson } from "../../_lib/parseJson";
import { platformLongPollMs, platformRequestTimeoutMs, platformRetryMaxMs, platformRetryMinMs } from "../../constants";
import { type Settings } from "../../settings/types";
import { type Instance } from "../../types";
import { type MessageBus } from "../messages";

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
            const text = await answer.body.text();
            if (answer.statusCode === statusNotModified) {
                return { kind: "unchanged" };
            }
            if (answer.statusCode !== statusOk) {
                return { kind: "unreachable", detail: `status ${answer.statusCode}` };
            }
            return { kind: "value", value: { revision: Number(answer.headers[revisionHeader]), text } };
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

const addressSchema = z.object({ host: z.string(), port: z.int() });
const instancesSchema = z.array(z.object({
    endpoint: z.string(),
    service: z.string(),
    failureDomain: z.string(),
    peer: addressSchema,
    control: addressSchema,
    state: z.enum(["live", "leaving"]),
}));

/** Parses an instance list; returns undefined if the text is not valid. */
export const parseInstances = (text: string): readonly Instance[] | undefined => {
    const parsed = parseJson(text);
    const checked = parsed.ok ? checkShape(instancesSchema, parsed.value) : parsed;
    return checked.ok ? checked.value : undefined;
};

/** Watches the policy log and the instance list, and publishes each new value and whether the platform is reachable. */
export class PlatformTask {
    private stopped = false;
    private isReachable: boolean | undefined;

    constructor(
        private readonly platform: Platform,
        private readonly settings: Settings["platform"],
        private readonly bus: MessageBus,
        private readonly sampleRandom: () => number,
        private readonly readMonotonicMs: () => number,
    ) {
        bus.subscribe("paused", () => void this.readInstancesNow());
    }

    start(): void {
        void this.watch(
            this.settings.policyKey,
            value =>
                this.bus.publish({
                    kind: "policyLogRead",
                    text: value.text,
                    revision: value.revision,
                    source: "platform",
                }),
        );
        void this.watch(this.settings.instancesKey, value => this.publishInstances(value));
    }

    async stop(): Promise<void> {
        this.stopped = true;
        await this.platform.close();
    }

    /** Reads the instance list without waiting for a newer one; retries until the platform returns it. */
    private async readInstancesNow(): Promise<void> {
        for (let failures = 1; !this.stopped; failures += 1) {
            const queriedAtMs = this.readMonotonicMs();
            const read = await this.platform.read(this.settings.instancesKey, 0, 0);
            if (read.kind === "value") {
                this.publishInstances(read.value);
                this.bus.publish({ kind: "instancesConfirmed", queriedAtMs });
                return;
            }
            await this.awaitBackoff(failures);
        }
    }

    private publishInstances(value: PlatformValue): void {
        const instances = parseInstances(value.text);
        if (instances) {
            this.bus.publish({ kind: "instancesRead", instances, revision: value.revision });
            return;
        }
        this.bus.publish({
            kind: "audited",
            audit: { event: "instances-unreadable", fields: { revision: value.revision } },
        });
    }

    private async watch(key: string, onValue: (value: PlatformValue) => void): Promise<void> {
        let revision = 0;
        let failures = 0;
        while (!this.stopped) {
            const read = await this.platform.read(key, revision, platformLongPollMs);
            if (this.stopped) {
                return;
            }
            this.publishReachability(read);
            if (read.kind === "unreachable") {
                failures += 1;
                await this.awaitBackoff(failures);
                continue;
            }
            failures = 0;
            if (read.kind === "value" && read.value.revision > revision) {
                revision = read.value.revision;
                onValue(read.value);
            }
        }
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

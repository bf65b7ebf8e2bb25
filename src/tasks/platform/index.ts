/** Reads and watches the platform's configuration service. */
import { type Pool, request } from "undici";
import { z } from "zod";
import { checkShape } from "../../_lib/checkShape";
import { parseJson } from "../../_lib/parseJson";
import { platformLongPollMs, platformRequestTimeoutMs, platformRetryMaxMs, platformRetryMinMs } from "../../constants";
import { type Settings } from "../../settings/types";
import { type Instance } from "../../types";
import { type MessageBus } from "../messages";

/** A value with the revision at which it was written. */
export interface PlatformValue {
    readonly revision: number;
    readonly text: string;
}

/** Result of waiting for a newer value. */
export type PlatformRead =
    | { readonly kind: "value"; readonly value: PlatformValue; }
    | { readonly kind: "unchanged"; }
    | { readonly kind: "unreachable"; readonly detail: string; };

/** The platform's read-and-watch service. */
export interface Platform {
    /** Waits until a value newer than a revision is there, or until the service's wait is over. */
    read(key: string, afterRevision: number, waitMs: number): Promise<PlatformRead>;
    close(): Promise<void>;
}

const revisionHeader = "x-revision";
const statusOk = 200;
const statusNotModified = 304;

/** Client of the platform's HTTP interface, by long polling. */
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

/** Parses the text of an instance list; undefined when it is not one. */
export const parseInstances = (text: string): readonly Instance[] | undefined => {
    const parsed = parseJson(text);
    const shaped = parsed.ok ? checkShape(instancesSchema, parsed.value) : parsed;
    return shaped.ok ? shaped.value : undefined;
};

/** Owns the watches of the policy log and of the instance list. */
export class PlatformTask {
    private stopped = false;
    private reached: boolean | undefined;

    constructor(
        private readonly platform: Platform,
        private readonly settings: Settings["platform"],
        private readonly bus: MessageBus,
        private readonly sampleRandom: () => number,
        private readonly readNowMs: () => number,
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

    /** Reads the instance list at once, and again until the platform answers. */
    private async readInstancesNow(): Promise<void> {
        for (let failures = 1; !this.stopped; failures += 1) {
            const askedAtMs = this.readNowMs();
            const read = await this.platform.read(this.settings.instancesKey, 0, 0);
            if (read.kind === "value") {
                this.publishInstances(read.value);
                this.bus.publish({ kind: "instancesConfirmed", askedAtMs });
                return;
            }
            await this.awaitPause(failures);
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

    private async watch(key: string, use: (value: PlatformValue) => void): Promise<void> {
        let revision = 0;
        let failures = 0;
        while (!this.stopped) {
            const read = await this.platform.read(key, revision, platformLongPollMs);
            if (this.stopped) {
                return;
            }
            this.publishReached(read);
            if (read.kind === "unreachable") {
                failures += 1;
                await this.awaitPause(failures);
                continue;
            }
            failures = 0;
            if (read.kind === "value" && read.value.revision > revision) {
                revision = read.value.revision;
                use(read.value);
            }
        }
    }

    private publishReached(read: PlatformRead): void {
        const reached = read.kind !== "unreachable";
        if (reached === this.reached) {
            return;
        }
        this.reached = reached;
        const detail = read.kind === "unreachable" ? read.detail : "";
        this.bus.publish({ kind: "platformReached", reached, detail });
    }

    /** Waits before the next read, with jitter, so that the nodes do not come back all at once. */
    private awaitPause(failures: number): Promise<void> {
        const longest = Math.min(platformRetryMaxMs, platformRetryMinMs * 2 ** Math.min(failures, 10));
        const waitMs = platformRetryMinMs + this.sampleRandom() * (longest - platformRetryMinMs);
        return new Promise(resolve => {
            setTimeout(resolve, waitMs).unref();
        });
    }
}

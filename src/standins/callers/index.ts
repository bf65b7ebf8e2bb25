/** Stand-in for callers. It starts actions at random times, whether or not earlier ones have ended (open loop). */
import { Agent, type Dispatcher, request } from "undici";
import { v7 } from "uuid";
import { createRandom } from "../../_lib/createRandom";
import { type ActionRecord, type CallersConfig } from "../types";

type ClassConfig = CallersConfig["classes"][number];

interface AttemptResult {
    readonly ok: boolean;
    readonly status: number;
    readonly outcome: string | undefined;
}

const noAnswer: AttemptResult = { ok: false, status: 0, outcome: undefined };

/** Generates the load of all classes; a failed attempt is retried at once, up to `maxAttempts` attempts. */
export class Callers {
    private readonly agent = new Agent({ connections: 2_000, pipelining: 1 });
    private readonly records: ActionRecord[] = [];
    private readonly actionsInProgress = new Set<Promise<void>>();
    private readonly startedAtMs = performance.now();

    constructor(private readonly config: CallersConfig) {}

    /** Starts actions for `durationMs`, waits until all have ended, and returns a record of each. */
    async run(): Promise<readonly ActionRecord[]> {
        await Promise.all(this.config.classes.map((loadClass, index) => this.runClass(loadClass, index)));
        await Promise.all(this.actionsInProgress);
        await this.agent.close();
        return this.records;
    }

    private async runClass(loadClass: ClassConfig, index: number): Promise<void> {
        const sampleRandom = createRandom(this.config.seed * 31 + index);
        const sampleTarget = createRandom(this.config.seed * 31 + index + 7);
        let nextStartMs = 0;
        while (nextStartMs < this.config.durationMs) {
            nextStartMs += -Math.log(1 - sampleRandom()) * 1_000 / loadClass.ratePerSecond;
            const waitMs = nextStartMs - this.readElapsedMs();
            if (waitMs > 0) {
                await new Promise(resolve => setTimeout(resolve, waitMs));
            }
            const action = this.runAction(loadClass, sampleTarget);
            this.actionsInProgress.add(action);
            void action.finally(() => this.actionsInProgress.delete(action));
        }
    }

    private async runAction(loadClass: ClassConfig, sampleTarget: () => number): Promise<void> {
        const startMs = this.readElapsedMs();
        const key = loadClass.keyed ? v7() : undefined;
        const action = v7();
        let result = noAnswer;
        let attempts = 0;
        while (!result.ok && attempts < this.config.maxAttempts) {
            attempts += 1;
            result = await this.sendAttempt(loadClass, action, key, sampleTarget());
        }
        const { ok, status, outcome } = result;
        this.records.push({
            className: loadClass.name,
            startMs,
            endMs: this.readElapsedMs(),
            ok,
            attempts,
            action,
            key,
            outcome,
            status,
        });
    }

    private async sendAttempt(
        loadClass: ClassConfig,
        action: string,
        key: string | undefined,
        targetSample: number,
    ): Promise<AttemptResult> {
        const addresses = this.config.entries[loadClass.entry]!;
        const target = addresses[Math.floor(targetSample * addresses.length)]!;
        try {
            const answer = await request(`http://${target.host}:${target.port}${loadClass.path}`, {
                method: loadClass.method as Dispatcher.HttpMethod,
                dispatcher: this.agent,
                headers: { "pomelovalve-action": action, ...(key === undefined ? {} : { "idempotency-key": key }) },
                body: loadClass.keyed ? "{}" : undefined,
                signal: AbortSignal.timeout(this.config.attemptTimeoutMs),
            });
            const text = await answer.body.text();
            const isComplete = answer.statusCode === 200
                && (JSON.parse(text) as { readonly resultCount?: number; }).resultCount !== undefined;
            const outcome = answer.headers["pomelovalve-outcome"];
            return {
                ok: isComplete,
                status: answer.statusCode,
                outcome: typeof outcome === "string" ? outcome : undefined,
            };
        }
        catch {
            return noAnswer;
        }
    }

    private readElapsedMs(): number {
        return performance.now() - this.startedAtMs;
    }
}

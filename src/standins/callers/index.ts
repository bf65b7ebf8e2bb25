/** Stand-in of the callers: an open loop of actions, each sent again at once when it fails. */
import { Agent, type Dispatcher, request } from "undici";
import { v7 } from "uuid";
import { createRandom } from "../../_lib/createRandom";
import { type ActionRecord, type CallersConfig } from "../types";

type ClassConfig = CallersConfig["classes"][number];

interface AttemptEnd {
    readonly ok: boolean;
    readonly status: number;
    readonly told: string | undefined;
}

const noAnswer: AttemptEnd = { ok: false, status: 0, told: undefined };

/** Owns the connections of the callers and the records of their actions. */
export class Callers {
    private readonly agent = new Agent({ connections: 2_000, pipelining: 1 });
    private readonly records: ActionRecord[] = [];
    private readonly running = new Set<Promise<void>>();
    private readonly startedAtMs = performance.now();

    constructor(private readonly config: CallersConfig) {}

    /** Runs the load to its end; returns the records of all actions. */
    async run(): Promise<readonly ActionRecord[]> {
        await Promise.all(this.config.classes.map((loadClass, index) => this.runClass(loadClass, index)));
        await Promise.all(this.running);
        await this.agent.close();
        return this.records;
    }

    private async runClass(loadClass: ClassConfig, index: number): Promise<void> {
        const sampleRandom = createRandom(this.config.seed * 31 + index);
        const sampleTarget = createRandom(this.config.seed * 31 + index + 7);
        let nextMs = 0;
        while (nextMs < this.config.durationMs) {
            nextMs += -Math.log(1 - sampleRandom()) * 1_000 / loadClass.ratePerSecond;
            const waitMs = nextMs - this.readElapsedMs();
            if (waitMs > 0) {
                await new Promise(resolve => setTimeout(resolve, waitMs));
            }
            const action = this.runAction(loadClass, sampleTarget);
            this.running.add(action);
            void action.finally(() => this.running.delete(action));
        }
    }

    private async runAction(loadClass: ClassConfig, sampleTarget: () => number): Promise<void> {
        const startMs = this.readElapsedMs();
        const key = loadClass.keyed ? v7() : undefined;
        const action = v7();
        let end = noAnswer;
        let attempts = 0;
        while (!end.ok && attempts < this.config.maxAttempts) {
            attempts += 1;
            end = await this.sendAttempt(loadClass, action, key, sampleTarget());
        }
        const { ok, status, told } = end;
        this.records.push({
            className: loadClass.name,
            startMs,
            endMs: this.readElapsedMs(),
            ok,
            attempts,
            action,
            key,
            outcome: told,
            status,
        });
    }

    private async sendAttempt(
        loadClass: ClassConfig,
        action: string,
        key: string | undefined,
        random: number,
    ): Promise<AttemptEnd> {
        const entries = this.config.entries[loadClass.entry]!;
        const target = entries[Math.floor(random * entries.length)]!;
        try {
            const answer = await request(`http://${target.host}:${target.port}${loadClass.path}`, {
                method: loadClass.method as Dispatcher.HttpMethod,
                dispatcher: this.agent,
                headers: { "pomelovalve-action": action, ...(key === undefined ? {} : { "idempotency-key": key }) },
                body: loadClass.keyed ? "{}" : undefined,
                signal: AbortSignal.timeout(this.config.attemptTimeoutMs),
            });
            const text = await answer.body.text();
            const isWhole = answer.statusCode === 200
                && (JSON.parse(text) as { readonly parts?: number; }).parts !== undefined;
            const told = answer.headers["pomelovalve-outcome"];
            return { ok: isWhole, status: answer.statusCode, told: typeof told === "string" ? told : undefined };
        }
        catch {
            return noAnswer;
        }
    }

    private readElapsedMs(): number {
        return performance.now() - this.startedAtMs;
    }
}

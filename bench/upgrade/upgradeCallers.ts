/** Callers that keep sending over kept connections while nodes are replaced. */
import { Agent } from "node:http";
import { type OperatorRoute } from "../../platform/testing/platformFiles";
import { sendToNode } from "../_lib/sendToNode";
import { type Build, longBody, type UpgradeFleet, type UpgradeNode } from "./upgradeFleet";

/** A request and what its caller got; `status` is 0 without a complete answer. */
export interface CallRecord {
    readonly requestId: string;
    readonly idempotent: boolean;
    /** Build of the node that the caller sent the request to. */
    readonly build: Build["name"];
    readonly status: number;
    /** Whether the body is the one that the upstream gave to this request. */
    readonly isWhole: boolean;
}

const deadlineMs = 4_000;
const meanPauseMs = 60;
/** A machine gets no new work after two misses of its readiness, which is asked once a second. */
const readinessIntervalMs = 1_000;
const maxMisses = 2;
/** Every such request of a caller gets a long answer, and every such one has a long body. */
const longAnswerEvery = 17;
const longRequestEvery = 5;
const longRequest = "y".repeat(100_000);

/** Sends one request; never rejects. */
export const sendOnce = async (
    node: UpgradeNode,
    route: OperatorRoute,
    requestId: string,
    options: { readonly agent: Agent | false; readonly path: string; readonly body?: string; },
): Promise<CallRecord> => {
    const build = node.build.name;
    const { status, body } = await sendToNode(node.place, { ...options, route, requestId, deadlineMs });
    return { requestId, idempotent: route.idempotent, build, status, isWhole: body === requestId || body === longBody };
};

/** Runs callers at each node, which leave it as the platform's clients do. */
export class UpgradeCallers {
    readonly records: CallRecord[] = [];
    private readonly misses = new Map<UpgradeNode, number>();
    private isEnded = false;
    private requestCount = 0;

    constructor(private readonly fleet: UpgradeFleet, private readonly routes: readonly OperatorRoute[]) {}

    /** Sends until `end` is called; resolves when all requests have ended. */
    async run(callersPerNode: number): Promise<void> {
        const timer = setInterval(() => void this.checkReadiness(), readinessIntervalMs);
        await Promise.all(
            this.fleet.nodes.flatMap(node =>
                this.routes.flatMap(route => Array.from({ length: callersPerNode }, () => this.runCaller(node, route)))
            ),
        );
        clearInterval(timer);
    }

    end(): void {
        this.isEnded = true;
    }

    private async checkReadiness(): Promise<void> {
        await Promise.all(this.fleet.nodes.map(async node => {
            const isReady = await this.fleet.isReady(node);
            this.misses.set(node, isReady ? 0 : (this.misses.get(node) ?? 0) + 1);
        }));
    }

    private async runCaller(node: UpgradeNode, route: OperatorRoute): Promise<void> {
        const agent = new Agent({ keepAlive: true, maxSockets: 1 });
        for (let count = 1; !this.isEnded; count += 1) {
            if ((this.misses.get(node) ?? 0) < maxMisses) {
                this.requestCount += 1;
                const isLongAnswer = route.idempotent && count % longAnswerEvery === 0;
                this.records.push(
                    await sendOnce(node, route, `r-${this.requestCount}`, {
                        agent,
                        path: `${route.prefix}${count}${isLongAnswer ? "/long" : ""}`,
                        body: route.idempotent ? undefined : count % longRequestEvery === 0 ? longRequest : "y",
                    }),
                );
            }
            await new Promise(resolve => setTimeout(resolve, 2 * meanPauseMs * Math.random()));
        }
        agent.destroy();
    }
}

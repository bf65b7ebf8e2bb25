/** Callers on all nodes over kept connections, and the platform's question whether each node is ready. */
import { Agent } from "node:http";
import { type OperatorRoute } from "../../platform/testing/platformFiles";
import { sendToNode } from "../_lib/sendToNode";
import { isNodeReady } from "../_lib/targetNode";
import { type Machine, type SoakFleet } from "./soakFleet";
import { type ReadyProbe, type SoakCall } from "./types";

const deadlineMs = 3_000;
const meanPauseMs = 110;
const readinessIntervalMs = 500;
/** Number of misses after which callers stay away. */
const maxMisses = 4;
/** Delay of a timer of this process, or of an answer to the question of readiness, that counts as a pause, in ms. */
const pauseMs = 300;
const callersPerNode = 2;

/** Sends requests until it is ended, and records what comes back. */
export class SoakCallers {
    readonly calls: SoakCall[] = [];
    readonly probes: ReadyProbe[] = [];
    private readonly misses = new Map<Machine, number>();
    private isEnded = false;
    private requestCount = 0;

    constructor(private readonly fleet: SoakFleet, private readonly sampleRandom: () => number) {}

    /** Sends until `end` is called; resolves when all requests have ended. */
    async run(): Promise<void> {
        let lastAtMs = Date.now();
        const pauseTimer = setInterval(() => {
            const nowMs = Date.now();
            if (nowMs - lastAtMs > pauseMs) {
                this.fleet.recordDisruption("store", "this process paused", lastAtMs);
            }
            lastAtMs = nowMs;
        }, pauseMs / 6);
        const readinessTimer = setInterval(
            () => this.fleet.machines.forEach(machine => void this.checkReadiness(machine)),
            readinessIntervalMs,
        );
        await Promise.all(
            this.fleet.machines.flatMap(machine =>
                Array.from({ length: callersPerNode }, () => this.runCaller(machine))
            ),
        );
        clearInterval(readinessTimer);
        clearInterval(pauseTimer);
    }

    end(): void {
        this.isEnded = true;
    }

    private async checkReadiness(machine: Machine): Promise<void> {
        const atMs = Date.now();
        const isReady = await isNodeReady(machine.place);
        const node = machine.place.name;
        this.probes.push({ node, atMs, isReady });
        this.misses.set(machine, isReady ? 0 : (this.misses.get(machine) ?? 0) + 1);
        if (Date.now() - atMs > pauseMs) {
            this.fleet.recordDisruption(node, "slow answer", atMs);
        }
    }

    private async runCaller(machine: Machine): Promise<void> {
        const agent = new Agent({ keepAlive: true, maxSockets: 1 });
        while (!this.isEnded) {
            if ((this.misses.get(machine) ?? 0) < maxMisses) {
                const { publishedRoutes } = this.fleet;
                const route = publishedRoutes[Math.floor(this.sampleRandom() * publishedRoutes.length)]!;
                this.calls.push(await this.sendCall(machine, route, agent));
            }
            await new Promise(resolve => setTimeout(resolve, 2 * meanPauseMs * this.sampleRandom()));
        }
        agent.destroy();
    }

    private async sendCall({ place }: Machine, route: OperatorRoute, agent: Agent): Promise<SoakCall> {
        this.requestCount += 1;
        const requestId = `r-${this.requestCount}`;
        const sentAtMs = Date.now();
        const { name, idempotent, prefix } = route;
        const { status, body } = await sendToNode(place, {
            route,
            requestId,
            path: `${prefix}1`,
            agent,
            deadlineMs,
            body: idempotent ? undefined : "y",
        });
        return {
            requestId,
            node: place.name,
            route: name,
            idempotent,
            sentAtMs,
            endedAtMs: Date.now(),
            status,
            isWhole: body === requestId,
        };
    }
}

/** Events that a soak plays: changes, leavings, disruptions and entries of another writer, in a seeded order. */
import { sampleOddEntry } from "../../platform/testing/oddEntries";
import { type OperatorRoute } from "../../platform/testing/platformFiles";
import { awaitDelay } from "../_lib/awaitDelay";
import { type Machine, type SoakFleet } from "./soakFleet";
import { type ProxyMode } from "./storeProxy";
import { type SoakKind } from "./types";

/** Kinds of events and of odd entries to play, and the means of chance and of the log. */
export interface SoakEventOptions {
    readonly kinds: readonly SoakKind[];
    readonly entryKinds: readonly string[];
    readonly sampleRandom: () => number;
    readonly onEvent: (text: string) => void;
}

/** Mean pause between two events, in milliseconds; events of several seconds overlap. */
const meanPauseMs = 1_100;
const maxRoutes = 30;
/** Number of routes that stay for the whole soak. */
const steadyRoutes = 4;
/** Time for which an upstream serves after its leaving was acknowledged, at least, in milliseconds. */
const servesOnMs = 2_200;
/** Time after which the address of an upstream that has ended is used again, in milliseconds. */
const reuseAfterMs = 2_100;
/** Time after which upstreams write their entries again when the store is back, in milliseconds. */
const renewalMs = 700;

/** Plays events until it is ended. */
export class SoakEvents {
    private isEnded = false;
    private isStoreBusy = false;
    private oddCount = 0;
    private readonly running = new Set<Promise<void>>();

    constructor(private readonly fleet: SoakFleet, private readonly options: SoakEventOptions) {}

    /** Plays events until `end` is called; resolves when the last one is over. */
    async run(): Promise<void> {
        while (!this.isEnded) {
            const { kinds, sampleRandom } = this.options;
            const kind = kinds[Math.floor(sampleRandom() * kinds.length)]!;
            const event = this.runEvent(kind);
            this.running.add(event);
            void event.finally(() => this.running.delete(event));
            await awaitDelay(meanPauseMs * (0.3 + 1.4 * sampleRandom()));
        }
        await Promise.all(this.running);
    }

    end(): void {
        this.isEnded = true;
    }

    private runEvent(kind: SoakKind): Promise<void> {
        switch (kind) {
            case "config":
                return this.publishChange();
            case "drain":
            case "removal":
                return this.runLeaving(kind);
            case "odd":
                return this.writeOddEntry();
            case "cut":
            case "silent-watch":
            case "refusal":
                return this.runProxyMode(kind === "refusal" ? "refusal" : kind, 1 + Math.floor(this.sampleBelow(3)));
            case "freeze":
                return this.runOnMachine(kind, machine => this.runFreeze(machine));
            case "kill":
                return this.runOnMachine(kind, machine => this.runRestart(machine, "SIGKILL"));
            case "restart":
                return this.runOnMachine(kind, machine => this.runRestart(machine, "SIGTERM"));
            case "outage":
            case "compaction":
            case "older-store":
                return this.runOnStore(kind);
        }
    }

    private publishChange(): Promise<void> {
        const { fleet } = this;
        const routes = fleet.publishedRoutes;
        const base = routes[Math.floor(this.sampleBelow(steadyRoutes))]!;
        const name = `added-${fleet.routeLives.size}`;
        const added: OperatorRoute = { ...base, name, prefix: `/${name}/` };
        const kept = routes.filter((unused, index) =>
            index < steadyRoutes || routes.length < maxRoutes && this.sampleBelow(1) > 0.05
        );
        const version = fleet.publish([...kept, added]);
        this.options.onEvent(`version ${version} adds ${name}, ${routes.length - kept.length} routes removed`);
        return Promise.resolve();
    }

    /** Has an upstream leave: it serves on for a while, ends, and another incarnation takes its address. */
    private runLeaving(kind: "drain" | "removal"): Promise<void> {
        return this.runOnMachine(kind, async machine => {
            if (kind === "drain") {
                this.fleet.register(machine, "draining");
            }
            else {
                this.fleet.removeEntry(machine);
            }
            await awaitDelay(servesOnMs + this.sampleBelow(6_000));
            if (kind === "drain") {
                this.fleet.removeEntry(machine);
            }
            await machine.upstream!.close();
            await awaitDelay(reuseAfterMs);
            await this.fleet.startUpstream(machine);
        });
    }

    private async writeOddEntry(): Promise<void> {
        const { sampleRandom, entryKinds, onEvent } = this.options;
        const { place } = this.fleet.machines[Math.floor(this.sampleBelow(this.fleet.machines.length))]!;
        this.oddCount += 1;
        const target = { ...place, address: `${place.host}:${place.firstPort}` };
        const { kind, key, content } = sampleOddEntry(entryKinds, target, this.oddCount, sampleRandom);
        const shown = JSON.stringify(content.toString("latin1").slice(0, 80));
        onEvent(
            `odd entry ${JSON.stringify(key)}, ${kind}, ${content.length} characters, beside ${place.name}: ${shown}`,
        );
        this.fleet.store.write(key, content);
        if (this.sampleBelow(1) < 0.5) {
            await awaitDelay(this.sampleBelow(20_000));
            this.fleet.store.write(key, undefined);
        }
    }

    private async runProxyMode(mode: ProxyMode, count: number): Promise<void> {
        await Promise.all(Array.from({ length: count }, () =>
            this.runOnMachine(mode, async machine => {
                const fromMs = Date.now();
                machine.proxy.updateMode(mode);
                await awaitDelay(500 + this.sampleBelow(6_000));
                machine.proxy.updateMode("open");
                this.fleet.recordDisruption(machine.place.name, mode, fromMs);
            })));
    }

    private async runFreeze(machine: Machine): Promise<void> {
        const fromMs = Date.now();
        machine.child!.kill("SIGSTOP");
        await awaitDelay(300 + this.sampleBelow(4_500));
        machine.child!.kill("SIGCONT");
        this.fleet.recordDisruption(machine.place.name, "freeze", fromMs);
    }

    private async runRestart(machine: Machine, signal: NodeJS.Signals): Promise<void> {
        const fromMs = Date.now();
        await this.fleet.endNode(machine, signal);
        await awaitDelay(this.sampleBelow(1_500));
        this.fleet.startNode(machine, false);
        this.fleet.recordDisruption(machine.place.name, signal, fromMs);
    }

    /** Runs an event on a machine that no other event concerns; does nothing if all of them are busy. */
    private async runOnMachine(kind: string, run: (machine: Machine) => Promise<void>): Promise<void> {
        const idle = this.fleet.machines.filter(({ isBusy }) => !isBusy);
        const machine = idle[Math.floor(this.sampleBelow(idle.length))];
        if (!machine) {
            return;
        }
        machine.isBusy = true;
        this.options.onEvent(`${kind} of ${machine.place.name}`);
        await run(machine);
        this.options.onEvent(`${kind} of ${machine.place.name} is over`);
        machine.isBusy = false;
    }

    private async runOnStore(kind: "outage" | "compaction" | "older-store"): Promise<void> {
        if (this.isStoreBusy) {
            return;
        }
        this.isStoreBusy = true;
        const { fleet } = this;
        const fromMs = Date.now();
        this.options.onEvent(kind);
        if (kind === "outage") {
            fleet.store.mode = (["busy", "unresponsive", "reset"] as const)[Math.floor(this.sampleBelow(3))]!;
            await awaitDelay(500 + this.sampleBelow(4_000));
            fleet.store.mode = "serving";
        }
        else if (kind === "compaction") {
            fleet.store.compact();
        }
        else {
            fleet.store.recordCopy();
            await awaitDelay(this.sampleBelow(3_000));
            fleet.store.adoptCopy();
            await awaitDelay(renewalMs);
            this.writeEntriesAgain();
        }
        fleet.recordDisruption("store", kind, fromMs);
        this.options.onEvent(`${kind} is over`);
        this.isStoreBusy = false;
    }

    /** Has all upstreams write their entries again, and the operator the configuration. */
    private writeEntriesAgain(): void {
        const { machines, leavings, store } = this.fleet;
        leavings.forEach(({ upstreamId }) => store.write(`servers/${upstreamId}`, undefined));
        machines.forEach(machine => {
            if (machine.entryState !== undefined) {
                this.fleet.register(machine, machine.entryState);
            }
        });
        this.fleet.publish(this.fleet.publishedRoutes);
    }

    private sampleBelow(bound: number): number {
        return this.options.sampleRandom() * bound;
    }
}

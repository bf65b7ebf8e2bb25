/**
 * Load pattern: nodes that learn the age of their routing tables from the store and from each other. Guards against a
 * proof that claims a table to be newer than it is, by which a withdrawn key would be accepted.
 */
import fc from "fast-check";
import { type Instant } from "../../types";
import { TableProof } from "./tableProof";

interface Node {
    readonly proof: TableProof;
    version: number;
    /** Offsets of the node's clocks from the true time, in milliseconds. */
    readonly clockOffsets: { readonly monotonicMs: number; wallMs: number; };
    suspendedMs: number;
}

/** An answer under way: what it says, and when the question for it was asked. */
interface Message {
    readonly to: number;
    readonly version: number;
    readonly ageMs: number;
    readonly askedAt: Instant;
}

/** Nodes, a store and messages between them on a common true time. */
class ProofModel {
    nowMs = 100_000;
    readonly nodes: readonly Node[];
    private readonly messages: Message[] = [];
    private storeVersion = 1;
    /** True time at which each version was replaced. */
    private readonly replacedAtMs = new Map<number, number>();

    constructor(count: number) {
        this.nodes = Array.from({ length: count }, (unused, index): Node => {
            const clockOffsets = { monotonicMs: 7_000 * index, wallMs: 900_000 - 11_000 * index };
            const node: Node = {
                proof: new TableProof({
                    readMonotonicMs: () => this.nowMs + clockOffsets.monotonicMs - node.suspendedMs,
                    readWallMs: () => this.nowMs + clockOffsets.wallMs,
                }),
                version: 0,
                clockOffsets,
                suspendedMs: 0,
            };
            return node;
        });
    }

    publish(): void {
        this.replacedAtMs.set(this.storeVersion, this.nowMs);
        this.storeVersion += 3;
    }

    /** Asks the store, whose answer tells the state of a moment within the next `delayMs`. */
    queryStore(to: number, delayMs: number): void {
        const askedAt = this.nodes[to]!.proof.readNow();
        this.nowMs += delayMs;
        this.messages.push({ to, version: this.storeVersion, ageMs: 0, askedAt });
    }

    queryNode(to: number, from: number, heldMs: number): void {
        const askedAt = this.nodes[to]!.proof.readNow();
        this.nowMs += heldMs;
        const { proof, version } = this.nodes[from]!;
        this.messages.push({ to, version, ageMs: proof.readAgeMs() - heldMs, askedAt });
    }

    /** Delivers one of the answers under way; the others may come later or never. */
    receive(index: number): void {
        const [message] = this.messages.splice(index % Math.max(1, this.messages.length), 1);
        if (!message) {
            return;
        }
        const node = this.nodes[message.to]!;
        node.version = Math.max(node.version, message.version);
        node.proof.record(message, node.version);
    }

    /** Lists the nodes whose proof denies that their version was replaced before the time that it claims. */
    listWrongNodes(): readonly number[] {
        return this.nodes.flatMap(({ proof, version }, index) => {
            const trueAgeMs = this.nowMs - (this.replacedAtMs.get(version) ?? Infinity);
            return proof.readAgeMs() < trueAgeMs ? [index] : [];
        });
    }
}

const nodeCount = 4;
const node = fc.nat(nodeCount - 1);
const duration = fc.nat(3_000);
const step = fc.oneof(
    { weight: 1, arbitrary: fc.record({ kind: fc.constant("publish" as const) }) },
    { weight: 3, arbitrary: fc.record({ kind: fc.constant("store" as const), to: node, ms: duration }) },
    { weight: 4, arbitrary: fc.record({ kind: fc.constant("ask" as const), to: node, from: node, ms: duration }) },
    { weight: 6, arbitrary: fc.record({ kind: fc.constant("deliver" as const), index: fc.nat(20) }) },
    { weight: 2, arbitrary: fc.record({ kind: fc.constant("wait" as const), ms: duration }) },
    { weight: 1, arbitrary: fc.record({ kind: fc.constant("suspend" as const), to: node, ms: duration }) },
    { weight: 1, arbitrary: fc.record({ kind: fc.constant("setBack" as const), to: node, ms: duration }) },
    { weight: 1, arbitrary: fc.record({ kind: fc.constant("setForward" as const), to: node, ms: duration }) },
);

describe("a proof that nodes pass on", () => {
    it("never claims that a table is newer than it is, in any order of questions and answers", () => {
        fc.assert(
            fc.property(fc.array(step, { maxLength: 60 }), fc.boolean(), (steps, areClocksSet) => {
                const model = new ProofModel(nodeCount);
                steps.forEach(taken => {
                    switch (taken.kind) {
                        case "publish":
                            return model.publish();
                        case "store":
                            return model.queryStore(taken.to, taken.ms);
                        case "ask":
                            return model.queryNode(taken.to, taken.from, taken.ms);
                        case "deliver":
                            return model.receive(taken.index);
                        case "wait":
                            model.nowMs += taken.ms;
                            return;
                        case "suspend":
                            // A machine is suspended or its wall clock is set back; one clock always shows the time.
                            model.nodes[taken.to]!.suspendedMs += areClocksSet ? 0 : taken.ms;
                            model.nowMs += taken.ms;
                            return;
                        case "setBack":
                            model.nodes[taken.to]!.clockOffsets.wallMs -= areClocksSet ? taken.ms : 0;
                            return;
                        case "setForward":
                            model.nodes[taken.to]!.clockOffsets.wallMs += areClocksSet ? taken.ms : 0;
                    }
                });
                expect(model.listWrongNodes()).toEqual([]);
            }),
            { numRuns: 2_000, seed: 7 },
        );
    });

    it("keeps a proof when a newer table is adopted, and takes none for another version", () => {
        let nowMs = 0;
        const proof = new TableProof({ readMonotonicMs: () => nowMs, readWallMs: () => nowMs });
        const askedAt = proof.readNow();
        expect(proof.readAgeMs()).toBe(Infinity);
        nowMs = 300;
        proof.record({ version: 4, askedAt, ageMs: 100 }, 5);
        expect(proof.readAgeMs()).toBe(Infinity);
        proof.record({ version: 5, askedAt, ageMs: 100 }, 5);
        proof.record({ version: 5, askedAt, ageMs: 250 }, 5);
        proof.record({ version: 0, askedAt, ageMs: 0 }, 0);
        proof.record({ version: 5, askedAt, ageMs: Infinity }, 5);
        expect(proof.readAgeMs()).toBe(400);
    });
});

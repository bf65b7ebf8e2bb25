/**
 * Load pattern: an organisation that sends far more than its quota at all nodes, while nodes restart,
 * pause, are cut off and follow different holders. Guards against shares that are counted twice.
 */
import fc from "fast-check";
import { loanMs, type LoanTerms, ShareLoans } from "../shareLoans";
import { splitQuota } from "../splitQuota";
import { ShareLedger } from ".";

const bounds = { windowMs: 5_000, overshoot: 0.25, slack: 20 };
const nodeCount = 5;

/** A message of an owner under way; it may arrive late or never. */
interface LoanMessage {
    readonly owner: number;
    readonly holder: number;
    readonly terms: LoanTerms;
}

/** Nodes that lend their shares, with messages that are delayed, lost or reordered. */
class LoanModel {
    nowMs = 0;
    readonly grantedAtMs: number[] = [];
    private readonly nodes = Array.from({ length: nodeCount }, () => ({
        ledger: new ShareLedger(),
        loans: new ShareLoans(-loanMs),
        incarnation: 0,
    }));
    private readonly messages: LoanMessage[] = [];

    constructor(private readonly part: ReturnType<typeof splitQuota>) {}

    /** The holder answers a query, whose answer arrives after a delay. */
    sendTicket(owner: number, holder: number, delayMs: number): void {
        const ticket = { ticketMs: this.nowMs, incarnation: String(this.nodes[holder]!.incarnation) };
        this.nowMs += delayMs;
        this.nodes[owner]!.loans.recordTicket(String(holder), ticket, this.nowMs);
    }

    addLoan(owner: number, holder: number): void {
        const terms = this.nodes[owner]!.loans.createLoan(String(holder), 1 / nodeCount, this.nowMs);
        this.messages.push({ owner, holder, terms });
    }

    /** An owner asks for its share, and the holder's confirmation arrives after a delay. */
    removeShare(owner: number, delayMs: number): void {
        const { loans } = this.nodes[owner]!;
        const borrower = loans.findBorrower(this.nowMs);
        if (borrower === undefined) {
            return;
        }
        const { serial } = loans.createReclaim();
        this.nodes[Number(borrower)]!.ledger.endLoan(
            String(owner),
            { serial, forgetAtMs: this.nowMs + loanMs },
            this.nowMs,
        );
        this.nowMs += delayMs;
        loans.recordReturn();
    }

    receive(index: number): void {
        const [message] = this.messages.splice(index % Math.max(1, this.messages.length), 1);
        const holder = message && this.nodes[message.holder]!;
        if (message && message.terms.incarnation === String(holder?.incarnation)) {
            const { owner, terms } = message;
            holder?.ledger.addLoan(String(owner), { ...terms, endsAtMs: terms.ticketMs + loanMs }, this.nowMs);
        }
    }

    take(holder: number, count: number): void {
        const taken = this.nodes[holder]!.ledger.take("org-1", this.part, count, this.nowMs);
        this.grantedAtMs.push(...Array.from({ length: taken }, () => this.nowMs));
    }

    /** Restarts a node, which forgets everything. */
    removeState(owner: number): void {
        const node = this.nodes[owner]!;
        node.ledger = new ShareLedger();
        node.incarnation += 1;
        node.loans = new ShareLoans(this.nowMs);
    }

    /** Returns the highest number of tokens granted in any window. */
    countMostInWindow(windowMs: number): number {
        return Math.max(
            0,
            ...this.grantedAtMs.map((startMs, index) =>
                this.grantedAtMs.slice(index).filter(atMs => atMs < startMs + windowMs).length
            ),
        );
    }
}

const node = fc.nat(nodeCount - 1);
const step = fc.oneof(
    { weight: 4, arbitrary: fc.record({ kind: fc.constant("ticket" as const), a: node, b: node, ms: fc.nat(400) }) },
    { weight: 4, arbitrary: fc.record({ kind: fc.constant("lend" as const), a: node, b: node, ms: fc.nat(0) }) },
    {
        weight: 5,
        arbitrary: fc.record({ kind: fc.constant("receive" as const), a: fc.nat(20), b: node, ms: fc.nat(0) }),
    },
    { weight: 6, arbitrary: fc.record({ kind: fc.constant("take" as const), a: node, b: fc.nat(60), ms: fc.nat(0) }) },
    { weight: 3, arbitrary: fc.record({ kind: fc.constant("wait" as const), a: node, b: node, ms: fc.nat(2_000) }) },
    { weight: 1, arbitrary: fc.record({ kind: fc.constant("restart" as const), a: node, b: node, ms: fc.nat(0) }) },
    { weight: 2, arbitrary: fc.record({ kind: fc.constant("reclaim" as const), a: node, b: node, ms: fc.nat(50) }) },
);

describe("shares that nodes lend", () => {
    it.each([[1.6, 2], [16, 16], [132, 40]])(
        "grant no more than the tokens of the quota in any window (%d requests/s, burst %d)",
        (ratePerSecond, burst) => {
            const part = splitQuota({ ratePerSecond, burst }, bounds);
            const most = part.ratePerMs * bounds.windowMs + part.burst + part.initial;
            fc.assert(
                fc.property(fc.array(step, { maxLength: 120 }), steps => {
                    const model = new LoanModel(part);
                    steps.forEach(({ kind, a, b, ms }) => {
                        const actions = {
                            ticket: () => model.sendTicket(a, b, ms),
                            lend: () => model.addLoan(a, b),
                            receive: () => model.receive(a),
                            take: () => model.take(a, b),
                            wait: () => void (model.nowMs += ms),
                            restart: () => model.removeState(a),
                            reclaim: () => model.removeShare(a, ms),
                        };
                        actions[kind]();
                    });
                    expect(model.countMostInWindow(bounds.windowMs)).toBeLessThanOrEqual(Math.ceil(most));
                }),
                { numRuns: 1_500, seed: 11 },
            );
        },
    );

    it("let in all that lies within the quota while all nodes lend to one", () => {
        const part = splitQuota({ ratePerSecond: 16, burst: 16 }, bounds);
        const ledger = new ShareLedger();
        let taken = 0;
        for (let nowMs = 0; nowMs <= 20_000; nowMs += 50) {
            for (let owner = 0; owner < 20; owner += 1) {
                const terms = { serial: nowMs, share: 1 / 20, endsAtMs: nowMs + loanMs, isFirst: nowMs === 0 };
                ledger.addLoan(`n-${owner}`, terms, nowMs);
            }
            taken += nowMs % 100 === 0 ? ledger.take("org-1", part, 1, nowMs) : 0;
        }
        expect(taken).toBeGreaterThanOrEqual(199);
        expect(ledger.readShare(20_000)).toBeCloseTo(1);
        expect(ledger.take("org-1", part, 1_000, 20_000)).toBeLessThanOrEqual(part.burst);
        expect(ledger.computeWaitMs("org-1", part, 20_000)).toBeGreaterThan(0);
    });

    it("ignore loans that are over or of no valid share", () => {
        const ledger = new ShareLedger();
        ledger.addLoan("n-1", { serial: 1, share: 0.5, endsAtMs: 100, isFirst: true }, 200);
        ledger.addLoan("n-2", { serial: 1, share: 7, endsAtMs: 900, isFirst: true }, 200);
        ledger.addLoan("n-3", { serial: 1, share: NaN, endsAtMs: 900, isFirst: true }, 200);
        expect(ledger.readShare(300)).toBe(0);
    });

    it("ignore a loan that arrives after its return", () => {
        const ledger = new ShareLedger();
        ledger.addLoan("n-1", { serial: 1, share: 0.5, endsAtMs: 900, isFirst: true }, 0);
        ledger.endLoan("n-1", { serial: 3, forgetAtMs: 1_000 }, 100);
        ledger.addLoan("n-1", { serial: 2, share: 0.5, endsAtMs: 950, isFirst: false }, 200);
        expect(ledger.readShare(300)).toBe(0);
    });
});

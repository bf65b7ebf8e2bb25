import { type QuotaPart } from "../splitQuota";

/** A loan of a share to a ledger. */
export interface Loan {
    /** Part of all quotas, 0 to 1. */
    readonly share: number;
    readonly endsAtMs: number;
    /** Number of the owner's message; the ledger ignores a message with a lower one than it knows. */
    readonly serial: number;
}

interface Pool {
    part: QuotaPart;
    tokens: number;
    /** Values of the ledger's sums up to which the pool has received its tokens. */
    shareMs: number;
    startedShares: number;
}

/**
 * Tokens of the quotas, on one node. Each node of the fleet owns an equal share of all quotas and lends it to one node at a
 * time for a limited time, or keeps it. A ledger grants the tokens that accrue to the shares it
 * has been lent. Since no share is lent twice, all ledgers together grant no more than one with all shares would.
 */
export class ShareLedger {
    private readonly loans = new Map<string, Loan>();
    private readonly pools = new Map<string, Pool>();
    private share = 0;
    /** Integral of the lent share over time, in milliseconds. */
    private shareMs = 0;
    /** Sum of the shares whose owners have lent them for the first time since their start. */
    private startedShares = 0;
    private updatedAtMs = 0;
    /** Time before which no loan ends; loans that are extended meanwhile end later. */
    private nextEndMs = Infinity;

    /** Sum of the shares that the ledger has been lent, 0 to 1. */
    readShare(nowMs: number): number {
        this.update(nowMs);
        return this.share;
    }

    /** Takes a loan or extends it. `isFirst` tells that the owner has just started and has lent its share to nobody yet. */
    addLoan(
        owner: string,
        { share, endsAtMs, serial, isFirst }: Loan & { readonly isFirst: boolean; },
        nowMs: number,
    ): void {
        this.update(nowMs);
        if (endsAtMs <= nowMs || !(share > 0) || share > 1 || !this.isCurrent(owner, serial)) {
            return;
        }
        this.recordLoan(owner, { share, endsAtMs, serial });
        this.startedShares += isFirst ? share : 0;
    }

    /** Gives a share back to its owner. Its loans that are still on their way have ended at `forgetAtMs`. */
    endLoan(
        owner: string,
        { serial, forgetAtMs }: { readonly serial: number; readonly forgetAtMs: number; },
        nowMs: number,
    ) {
        this.update(nowMs);
        if (this.isCurrent(owner, serial)) {
            this.recordLoan(owner, { share: 0, endsAtMs: forgetAtMs, serial });
        }
    }

    /** Takes up to `count` tokens of an organisation; returns how many. */
    take(organisation: string, part: QuotaPart, count: number, nowMs: number): number {
        const pool = this.updatePool(organisation, part, nowMs);
        const taken = Math.min(Math.floor(pool.tokens), count);
        pool.tokens -= taken;
        return taken;
    }

    /** Computes the time until an organisation has a token, in milliseconds; Infinity if none accrue. */
    computeWaitMs(organisation: string, part: QuotaPart, nowMs: number): number {
        const { tokens } = this.updatePool(organisation, part, nowMs);
        return tokens >= 1 ? 0 : (1 - tokens) / (part.ratePerMs * this.share);
    }

    private isCurrent(owner: string, serial: number): boolean {
        return serial >= (this.loans.get(owner)?.serial ?? -Infinity);
    }

    private recordLoan(owner: string, loan: Loan): void {
        this.loans.set(owner, loan);
        this.nextEndMs = Math.min(this.nextEndMs, loan.endsAtMs);
        this.updateShare();
    }

    private updatePool(organisation: string, part: QuotaPart, nowMs: number): Pool {
        this.update(nowMs);
        const pool = this.pools.get(organisation) ?? { part, tokens: 0, shareMs: 0, startedShares: 0 };
        this.pools.set(organisation, pool);
        this.updateTokens(pool);
        pool.part = part;
        pool.tokens = Math.min(pool.tokens, part.burst * this.share);
        return pool;
    }

    private updateTokens(pool: Pool): void {
        const accrued = pool.part.ratePerMs * (this.shareMs - pool.shareMs)
            + pool.part.initial * (this.startedShares - pool.startedShares);
        pool.tokens = Math.min(pool.tokens + accrued, pool.part.burst * this.share);
        pool.shareMs = this.shareMs;
        pool.startedShares = this.startedShares;
    }

    private update(nowMs: number): void {
        if (nowMs >= this.nextEndMs) {
            this.endLoans(nowMs);
        }
        this.updateSums(nowMs);
    }

    /** Ends the loans that are over, in order. The tokens saved up for their shares are lost with them. */
    private endLoans(nowMs: number): void {
        const ended = [...this.loans].filter(([, { endsAtMs }]) => endsAtMs <= nowMs)
            .sort(([, first], [, second]) => first.endsAtMs - second.endsAtMs);
        ended.forEach(([owner, { endsAtMs }]) => {
            this.updateSums(endsAtMs);
            this.loans.delete(owner);
            this.updateShare();
        });
        this.nextEndMs = Math.min(...[...this.loans.values()].map(({ endsAtMs }) => endsAtMs));
    }

    private updateSums(untilMs: number): void {
        this.shareMs += this.share * Math.max(0, untilMs - this.updatedAtMs);
        this.updatedAtMs = Math.max(this.updatedAtMs, untilMs);
    }

    private updateShare(): void {
        const previous = this.share;
        this.share = [...this.loans.values()].reduce((sum, { share }) => sum + share, 0);
        if (this.share < previous) {
            this.pools.forEach(pool => this.updateTokens(pool));
        }
    }
}

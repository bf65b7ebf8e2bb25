/** Lets requests of an organisation in within its quota, with tokens of the node that holds the shares of the others. */
import { ShareLedger } from "../../decisions/shareLedger";
import { loanMs, type LoanTerms, ShareLoans } from "../../decisions/shareLoans";
import { type QuotaBounds, splitQuota } from "../../decisions/splitQuota";
import { type Organisation, type RoutingTable, type UpstreamRecord } from "../../routing/types";
import { type Clock } from "../../tasks/_lib/clock";
import { HeldTokens, type QuotaVerdict } from "./heldTokens";
import { HolderChoice } from "./holderChoice";
import { emptyTokenQuery, type TokenAnswer, type TokenQuery } from "./tokenMessages";

/** Place of the node, bounds, and means to ask other nodes. */
export interface QuotaTokensDependencies {
    readonly host: string;
    readonly failureDomain: string;
    readonly bounds: QuotaBounds;
    readonly incarnation: string;
    readonly clock: Clock;
    /** Asks a node; calls back with undefined if it doesn't answer in time. */
    readonly queryTokens: (
        host: string,
        query: TokenQuery,
        onAnswer: (answer: TokenAnswer | undefined) => void,
    ) => void;
    /** Called when the node that holds the shares changes. */
    readonly onHolder: (host: string, reason: string) => void;
}

/** Interval of the loans while no tokens are needed, in milliseconds. */
const renewalMs = 300;
/** Time after which a holder that couldn't know a quota is asked again for waiting requests, in milliseconds. */
const unknownRetryMs = 100;
/** Longest time that a refusal is repeated without asking again, in milliseconds. */
const maxRefusalMs = 500;
/** Share below which a lack of tokens may come from shares that others hold, and not from too many requests. */
const minKnownShare = 0.8;
/** Takes the place of the time until there is a token. */
const unknownQuotaMs = -1;

/**
 * Takes tokens from the ledger of the holder, a node that the others lend their shares to, and serves other nodes here. A
 * better holder than the current one is asked for a sign of life first, and gets the share as soon as the current one has
 * given it back. A holder that doesn't answer keeps it until the loan ends.
 */
export class QuotaTokens {
    private readonly ledger = new ShareLedger();
    private readonly organisations = new Map<string, HeldTokens>();
    private readonly holders: HolderChoice;
    private readonly loans: ShareLoans;
    private holder: string;
    private isQuerying = false;
    private isPinging = false;
    private isRetryScheduled = false;
    private hasQuotas = false;
    private stopRenewal: (() => void) | undefined;

    constructor(private readonly dependencies: QuotaTokensDependencies) {
        this.holder = dependencies.host;
        this.holders = new HolderChoice(dependencies);
        this.loans = new ShareLoans(dependencies.clock.readMonotonicMs());
    }

    start(): void {
        this.stopRenewal = this.dependencies.clock.startInterval(renewalMs, () => {
            if (this.hasQuotas) {
                this.pingPreferred();
                this.query();
            }
        });
    }

    stop(): void {
        this.stopRenewal?.();
    }

    adopt({ organisations = [] }: RoutingTable): void {
        const { bounds } = this.dependencies;
        const limited = organisations.filter(({ quota }) => quota);
        const names = new Set(limited.map(({ name }) => name));
        [...this.organisations.keys()].filter(name => !names.has(name)).forEach(name => {
            this.organisations.get(name)!.settleAll({ kind: "granted" });
            this.organisations.delete(name);
        });
        limited.forEach(({ name, quota }) => {
            const part = splitQuota(quota!, bounds);
            const known = this.organisations.get(name);
            known?.updatePart(part);
            this.organisations.set(name, known ?? new HeldTokens(part));
        });
        this.hasQuotas = limited.length > 0;
    }

    updateNodes(records: readonly UpstreamRecord[], nodeCount: number): void {
        this.holders.updateNodes(records, nodeCount, this.readNowMs());
    }

    /** Takes a token for a request, and calls back at once or when the holder has answered. */
    take({ name }: Organisation, settle: (verdict: QuotaVerdict) => void): void {
        const tokens = this.organisations.get(name);
        if (!tokens) {
            settle({ kind: "granted" });
            return;
        }
        const nowMs = this.readNowMs();
        const verdict = tokens.judge(nowMs);
        if (verdict) {
            settle(verdict);
            return;
        }
        tokens.enqueue(settle, nowMs);
        this.query();
    }

    /** Gives back the token of a request that has not been sent to an upstream. */
    release({ name }: Organisation): void {
        this.organisations.get(name)?.release(this.readNowMs());
    }

    /** Answers another node that lends its share and takes tokens. */
    serve(host: string, query: TokenQuery): TokenAnswer {
        const nowMs = this.readNowMs();
        if (query.incarnation === this.dependencies.incarnation) {
            this.ledger.addLoan(host, { ...query, endsAtMs: query.ticketMs + loanMs }, nowMs);
        }
        const grants = query.wants.map(([name, count]) => this.takeGrant(name, count, nowMs));
        if (query.isReclaim) {
            this.ledger.endLoan(host, { serial: query.serial, forgetAtMs: nowMs + loanMs }, nowMs);
        }
        return {
            ticketMs: nowMs,
            incarnation: this.dependencies.incarnation,
            isReturned: query.isReclaim,
            grants,
        };
    }

    private takeGrant(name: string, count: number, nowMs: number): readonly [number, number] {
        const part = this.organisations.get(name)?.quotaPart;
        if (!part) {
            return [0, unknownQuotaMs];
        }
        const taken = this.ledger.take(name, part, count, nowMs);
        if (taken < count && this.ledger.readShare(nowMs) < minKnownShare) {
            return [taken, unknownQuotaMs];
        }
        return [taken, taken > 0 ? 0 : Math.min(maxRefusalMs, this.ledger.computeWaitMs(name, part, nowMs))];
    }

    /** Asks the holder for what is wanted, unless a query is under way; its answer sends the next one. */
    private query(): void {
        if (this.isQuerying) {
            return;
        }
        this.isQuerying = true;
        setImmediate(() => this.sendQuery());
    }

    private sendQuery(): void {
        const nowMs = this.readNowMs();
        const preferred = this.holders.choose(nowMs);
        const isMoving = preferred !== this.holder && !this.holders.isSuspected(this.holder, nowMs);
        const isReclaim = isMoving && this.canMoveTo(preferred, nowMs)
            && this.loans.findBorrower(nowMs) === this.holder;
        if (preferred !== this.holder && !isReclaim && (!isMoving || this.canMoveTo(preferred, nowMs))) {
            this.recordHolder(preferred, isMoving ? "first of the ranking" : `no answer from ${this.holder}`);
        }
        const host = this.holder;
        const wanting = [...this.organisations].filter(([, { isWaiting }]) => isWaiting);
        const wants = wanting.map(([name, tokens]) => [name, tokens.beginQuery()] as const);
        this.queryNode(host, { ...this.createTerms(host, isReclaim, nowMs), isReclaim, wants }, answer => {
            this.isQuerying = false;
            this.applyAnswer(host, wanting, answer);
        });
    }

    private createTerms(host: string, isReclaim: boolean, nowMs: number): LoanTerms {
        if (host === this.dependencies.host) {
            // The own clock needs no exchange.
            this.loans.recordTicket(host, { ticketMs: nowMs, incarnation: this.dependencies.incarnation }, nowMs);
        }
        return isReclaim
            ? this.loans.createReclaim()
            : this.loans.createLoan(host, 1 / this.holders.countNodes(nowMs), nowMs);
    }

    private canMoveTo(host: string, nowMs: number): boolean {
        return host === this.dependencies.host || this.loans.hasTicket(host, nowMs);
    }

    /** Asks a better holder than the current one for a sign of life; requests don't wait for it. */
    private pingPreferred(): void {
        const nowMs = this.readNowMs();
        const preferred = this.holders.choose(nowMs);
        if (this.isPinging || preferred === this.holder || preferred === this.dependencies.host) {
            return;
        }
        this.isPinging = true;
        this.queryNode(preferred, emptyTokenQuery, answer => {
            this.isPinging = false;
            this.recordAnswer(preferred, answer);
            if (answer) {
                this.query();
            }
        });
    }

    private queryNode(host: string, query: TokenQuery, onAnswer: (answer: TokenAnswer | undefined) => void): void {
        const { host: ownHost, queryTokens } = this.dependencies;
        if (host === ownHost) {
            onAnswer(this.serve(ownHost, query));
            return;
        }
        queryTokens(host, query, onAnswer);
    }

    private recordAnswer(host: string, answer: TokenAnswer | undefined): void {
        const nowMs = this.readNowMs();
        if (answer) {
            this.loans.recordTicket(host, answer, nowMs);
            return;
        }
        this.holders.recordSilence(host, nowMs);
    }

    private applyAnswer(
        host: string,
        wanting: readonly (readonly [string, HeldTokens])[],
        answer: TokenAnswer | undefined,
    ): void {
        const nowMs = this.readNowMs();
        const couldLend = this.loans.canLend(host, nowMs);
        this.recordAnswer(host, answer);
        const isReturned = answer?.isReturned === true;
        if (isReturned) {
            this.loans.recordReturn();
        }
        const grants = wanting.map((unused, index) => answer?.grants[index] ?? [0, unknownQuotaMs] as const);
        wanting.forEach(([, tokens], index) => {
            tokens.applyGrant(grants[index]!, nowMs);
            tokens.refuseOverdue(nowMs);
        });
        if (!answer || isReturned || !couldLend && this.loans.canLend(host, nowMs)) {
            this.query();
            return;
        }
        const unknown = new Set(wanting.filter((unused, index) => grants[index]![1] < 0).map(([, tokens]) => tokens));
        const waiting = [...this.organisations.values()].filter(({ isWaiting }) => isWaiting);
        if (waiting.length > 0) {
            this.scheduleQuery(waiting.every(tokens => unknown.has(tokens)) ? unknownRetryMs : 0);
        }
    }

    private scheduleQuery(delayMs: number): void {
        if (delayMs === 0) {
            this.query();
            return;
        }
        if (this.isRetryScheduled) {
            return;
        }
        this.isRetryScheduled = true;
        this.dependencies.clock.startTimeout(delayMs, () => {
            this.isRetryScheduled = false;
            this.query();
        });
    }

    private recordHolder(host: string, reason: string): void {
        this.holder = host;
        this.dependencies.onHolder(host, reason);
    }

    private readNowMs(): number {
        return this.dependencies.clock.readMonotonicMs();
    }
}

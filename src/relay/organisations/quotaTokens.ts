/** Lets requests of an organisation in within its quota, with tokens of the node that holds the shares of the others. */
import { ShareLedger } from "../../decisions/shareLedger";
import { type QuotaBounds, splitQuota } from "../../decisions/splitQuota";
import { type Organisation, type RoutingTable, type UpstreamRecord } from "../../routing/types";
import { type Clock } from "../../tasks/_lib/clock";
import { CachedRanking } from "../_lib/cachedRanking";
import { HeldTokens, type QuotaVerdict } from "./heldTokens";

/** Tokens that a node asks another one for, and its loan to that node. */
export interface TokenQuery {
    /** Stamp of the answering node's clock from its latest answer, and its incarnation; the loan ends a time after it. */
    readonly ticketMs: number;
    readonly incarnation: string;
    /** Share of all quotas that the asking node lends. */
    readonly share: number;
    /** Whether the asking node lends its share for the first time since its start. */
    readonly isFirst: boolean;
    readonly wants: readonly (readonly [organisation: string, count: number])[];
}

/** Answer to a `TokenQuery`. */
export interface TokenAnswer {
    readonly ticketMs: number;
    readonly incarnation: string;
    /**
     * For each wanted organisation the number of tokens, and the time until there is one, in milliseconds; a negative
     * time if the answering node can't know whether the quota is exceeded.
     */
    readonly grants: readonly (readonly [count: number, waitMs: number])[];
}

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

/** Time for which a share is lent after the ticket that the loan refers to, in milliseconds. */
const loanMs = 1_500;
/** Number of nodes up to which one holder serves all of them; a larger fleet has one in each failure domain. */
const maxPooledNodes = 128;
/** Interval of the loans while no tokens are needed, in milliseconds. */
const renewalMs = 500;
/** Time for which a node that didn't answer isn't asked, in milliseconds. */
const suspicionMs = 3_000;
/** Time for which the highest number of nodes counts; a node that is cut off still owns its share, in milliseconds. */
const countRetentionMs = 10_000;
/** Longest time that a refusal is repeated without asking again, in milliseconds. */
const maxRefusalMs = 500;
/** Share below which a lack of tokens may come from shares that others hold, and not from too many requests. */
const minKnownShare = 0.8;
/** Takes the place of the time until there is a token. */
const unknownQuotaMs = -1;

/**
 * Takes tokens from the ledger of the holder, a node that the others lend their shares to, and serves other nodes here. The
 * holder is the first of the fleet, or of the failure domain while that one doesn't answer, as when the domain is cut off.
 */
export class QuotaTokens {
    private readonly ledger = new ShareLedger();
    private readonly organisations = new Map<string, HeldTokens>();
    private readonly fleetRanking = new CachedRanking("quotas");
    private readonly domainRanking: CachedRanking;
    private domainHosts: readonly string[] = [];
    private fleetHolder: string | undefined;
    private readonly suspectedUntilMs = new Map<string, number>();
    private nodeCounts: readonly { readonly count: number; readonly atMs: number; }[] = [];
    private holder = "";
    private ticket = { host: "", ticketMs: 0, incarnation: "", receivedAtMs: -Infinity };
    private lentUntilMs = -Infinity;
    private hasLent = false;
    private isQuerying = false;
    private hasQuotas = false;
    private stopRenewal: (() => void) | undefined;

    constructor(private readonly dependencies: QuotaTokensDependencies) {
        this.domainRanking = new CachedRanking(`${dependencies.failureDomain}/quotas`);
    }

    start(): void {
        this.stopRenewal = this.dependencies.clock.startInterval(renewalMs, () => {
            if (this.hasQuotas) {
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

    updateNodes(records: readonly UpstreamRecord[]): void {
        const { failureDomain } = this.dependencies;
        const ready = records.filter(({ state }) => state === "ready");
        const listHosts = (listed: readonly UpstreamRecord[]): readonly string[] => listed.map(({ host }) => host);
        const inDomain = ready.filter(record => record.failureDomain === failureDomain);
        this.domainHosts = this.domainRanking.update(listHosts(inDomain));
        const nodeCount = new Set(listHosts(records)).size;
        this.fleetHolder = nodeCount > maxPooledNodes ? undefined : this.fleetRanking.update(listHosts(ready))[0];
        const atMs = this.readNowMs();
        const recent = this.nodeCounts.filter(entry => atMs - entry.atMs < countRetentionMs);
        // The former number was in force until now.
        const former = this.nodeCounts.slice(-1).map(({ count }) => ({ count, atMs }));
        this.nodeCounts = [...recent, ...former, { count: nodeCount, atMs }];
    }

    /** Takes a token for a request, and calls back at once or when the holder has answered. */
    take({ name }: Organisation, settle: (verdict: QuotaVerdict) => void): void {
        const tokens = this.organisations.get(name);
        if (!tokens) {
            settle({ kind: "granted" });
            return;
        }
        const verdict = tokens.judge(this.readNowMs());
        if (verdict) {
            settle(verdict);
            return;
        }
        tokens.enqueue(settle);
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
        return {
            ticketMs: nowMs,
            incarnation: this.dependencies.incarnation,
            grants: query.wants.map(([name, count]) => this.takeGrant(name, count, nowMs)),
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
        const { host: ownHost, queryTokens } = this.dependencies;
        const host = this.chooseHolder();
        const nowMs = this.readNowMs();
        const wanting = [...this.organisations].filter(([, { isWaiting }]) => isWaiting);
        const wants = wanting.map(([name, tokens]) => [name, tokens.beginQuery()] as const);
        const query = { ...this.createLoan(host, nowMs), wants };
        const handle = (answer: TokenAnswer | undefined): void => this.applyAnswer(host, wanting, answer);
        if (host === ownHost) {
            handle(this.serve(ownHost, query));
            return;
        }
        queryTokens(host, query, handle);
    }

    /** Lends the node's share for a time after the holder's ticket, unless another node may still have it. */
    private createLoan(host: string, nowMs: number): Omit<TokenQuery, "wants"> {
        const { ticket } = this;
        const isOwn = host === this.dependencies.host;
        const isKnown = isOwn || ticket.host === host;
        const canLend = isKnown && (this.holder === host || nowMs >= this.lentUntilMs);
        const { incarnation } = isOwn ? this.dependencies : ticket;
        const receivedAtMs = isOwn ? nowMs : ticket.receivedAtMs;
        if (!canLend || receivedAtMs + loanMs <= nowMs) {
            return { ticketMs: 0, incarnation: "", share: 0, isFirst: false };
        }
        this.holder = host;
        this.lentUntilMs = Math.max(this.lentUntilMs, receivedAtMs + loanMs);
        const isFirst = !this.hasLent;
        this.hasLent = true;
        return { ticketMs: isOwn ? nowMs : ticket.ticketMs, incarnation, share: 1 / this.countNodes(nowMs), isFirst };
    }

    private applyAnswer(
        host: string,
        wanting: readonly (readonly [string, HeldTokens])[],
        answer: TokenAnswer | undefined,
    ): void {
        const nowMs = this.readNowMs();
        this.isQuerying = false;
        if (!answer) {
            this.suspectedUntilMs.set(host, nowMs + suspicionMs);
            wanting.forEach(([, tokens]) => tokens.settleAll({ kind: "unsure" }));
            this.dependencies.onHolder(this.chooseHolder(), `${host}: no answer`);
            return;
        }
        if (host !== this.ticket.host) {
            this.dependencies.onHolder(host, "first of the ranking that answers");
        }
        this.ticket = { host, ticketMs: answer.ticketMs, incarnation: answer.incarnation, receivedAtMs: nowMs };
        wanting.forEach(([, tokens], index) => tokens.applyGrant(answer.grants[index] ?? [0, unknownQuotaMs], nowMs));
        if ([...this.organisations.values()].some(({ isWaiting }) => isWaiting)) {
            this.query();
        }
    }

    private chooseHolder(): string {
        const nowMs = this.readNowMs();
        const isUsable = (host: string): boolean => (this.suspectedUntilMs.get(host) ?? -Infinity) <= nowMs;
        const ranking = this.fleetHolder === undefined ? this.domainHosts : [this.fleetHolder, ...this.domainHosts];
        return ranking.find(isUsable) ?? this.dependencies.host;
    }

    private countNodes(nowMs: number): number {
        const latest = this.nodeCounts[this.nodeCounts.length - 1]?.count ?? 1;
        const recent = this.nodeCounts.filter(({ atMs }) => nowMs - atMs < countRetentionMs);
        return Math.max(1, latest, ...recent.map(({ count }) => count));
    }

    private readNowMs(): number {
        return this.dependencies.clock.readMonotonicMs();
    }
}

import { computeRetryBudgetShare, RetryBudget, type RetryBudgetOptions } from "../../decisions/retryBudget";
import { type LoadReport } from "../types";

/** Share of the allowance that calls of upstreams leave for requests of callers, which are far fewer. */
const nestedReserve = 0.3;
/** Weight of one reading in the mean number of calls. */
const callsWeight = 0.02;
/** Until something is known, requests of a route are taken to lead to some calls. */
const assumedCalls = 3;

interface RouteBudget {
    readonly budget: RetryBudget;
    /** Mean number of calls that a request leads to, over all levels below. */
    nestedCalls: number;
    /** Share of their service's work that requests of callers make, 0 to 1. */
    directShare: number;
}

/** Owns this node's part of the allowance for repeats, by route. */
export class RetryBudgets {
    private readonly routes = new Map<string, RouteBudget>();
    private nodes = 1;

    constructor(private readonly allowance: RetryBudgetOptions, private readonly readNowMs: () => number) {}

    /** Takes the number of nodes that divide the allowance. */
    updateNodes(nodes: number): void {
        this.nodes = Math.max(1, nodes);
        this.routes.forEach(entry => this.updatePart(entry));
    }

    /** Records the first sending of a request; the calls of a repeat are repeats themselves. */
    recordRequest(route: string, isCallOfRetry: boolean): void {
        const { budget } = this.open(route);
        if (isCallOfRetry) {
            budget.recordNestedRetry(this.readNowMs());
            return;
        }
        budget.recordRequest(this.readNowMs());
    }

    /** Records what an answer to a request of a route told of its calls and its service. */
    recordAnswer(route: string, nested: boolean, report: LoadReport): void {
        const entry = this.open(route);
        entry.nestedCalls += callsWeight * (report.calls - entry.nestedCalls);
        entry.directShare = nested ? 1 : report.directShare;
        this.updatePart(entry);
    }

    /** Takes one repeat of a route; false when none is left. Nested requests leave some for the others. */
    tryTake(route: string, nested: boolean): boolean {
        return this.open(route).budget.tryConsume(this.readNowMs(), nested ? nestedReserve : 0);
    }

    private updatePart({ budget, ...figures }: RouteBudget): void {
        budget.updateShare(computeRetryBudgetShare(this.allowance, this.nodes, figures));
    }

    private open(route: string): RouteBudget {
        const existing = this.routes.get(route);
        if (existing) {
            return existing;
        }
        const figures = { nestedCalls: assumedCalls, directShare: 1 };
        const part = computeRetryBudgetShare(this.allowance, this.nodes, figures);
        const created: RouteBudget = { budget: new RetryBudget(part, this.readNowMs()), ...figures };
        this.routes.set(route, created);
        return created;
    }
}

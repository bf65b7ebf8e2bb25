import { computeRetryBudgetShare, RetryBudget, type RetryBudgetOptions } from "../../decisions/retryBudget";
import { type LoadReport } from "../types";

/** Share of a retry budget reserved for direct requests, which are far fewer than nested ones. */
const nestedReserve = 0.3;
/** Weight of one answer in the mean number of nested calls. */
const nestedCallsWeight = 0.02;
/** Assumed number of nested calls per request of a route until answers report it. */
const initialNestedCalls = 3;

interface RouteBudget {
    readonly budget: RetryBudget;
    /** Mean number of nested calls that a request causes, at all depths. */
    nestedCalls: number;
    /** Share of the service's slot time used by direct requests, 0 to 1; 1 for nested requests. */
    directShare: number;
}

/** Holds this node's share of the retry budget of each route. */
export class RetryBudgets {
    private readonly routes = new Map<string, RouteBudget>();
    private nodes = 1;

    constructor(private readonly options: RetryBudgetOptions, private readonly readNowMs: () => number) {}

    /** Sets the number of nodes that share the retry budget. */
    updateNodeCount(nodes: number): void {
        this.nodes = Math.max(1, nodes);
        this.routes.forEach(routeBudget => this.updateBudget(routeBudget));
    }

    /** Records the first attempt of a request; nested requests of a retry consume budget as retries do. */
    recordRequest(route: string, isNestedInRetry: boolean): void {
        const { budget } = this.getBudget(route);
        if (isNestedInRetry) {
            budget.recordNestedRetry(this.readNowMs());
            return;
        }
        budget.recordRequest(this.readNowMs());
    }

    /** Records the nested calls and the direct share that the answer to a request of a route reported. */
    recordAnswer(route: string, nested: boolean, report: LoadReport): void {
        const routeBudget = this.getBudget(route);
        routeBudget.nestedCalls += nestedCallsWeight * (report.nestedCalls - routeBudget.nestedCalls);
        routeBudget.directShare = nested ? 1 : report.directShare;
        this.updateBudget(routeBudget);
    }

    /** Consumes one retry of a route; returns false if none is left. Nested requests leave a reserve. */
    tryConsume(route: string, nested: boolean): boolean {
        return this.getBudget(route).budget.tryConsume(this.readNowMs(), nested ? nestedReserve : 0);
    }

    private updateBudget({ budget, ...stats }: RouteBudget): void {
        budget.updateShare(computeRetryBudgetShare(this.options, this.nodes, stats));
    }

    private getBudget(route: string): RouteBudget {
        const existing = this.routes.get(route);
        if (existing) {
            return existing;
        }
        const stats = { nestedCalls: initialNestedCalls, directShare: 1 };
        const share = computeRetryBudgetShare(this.options, this.nodes, stats);
        const created: RouteBudget = { budget: new RetryBudget(share, this.readNowMs()), ...stats };
        this.routes.set(route, created);
        return created;
    }
}

import { computeRetryBudgetShare, RetryBudget, type RetryBudgetOptions } from "../../decisions/retryBudget";
import { type LoadReport } from "../types";

/** Share of a retry budget that nested requests leave to direct ones, which are far fewer. */
const directReserveShare = 0.3;
/** Weight of one answer in the moving mean of the number of nested calls. */
const nestedCallsWeight = 0.02;
/** Initial mean number of nested calls of a route, before answers report it. */
const initialNestedCalls = 3;

interface RouteBudget {
    readonly budget: RetryBudget;
    /** Moving mean of the number of nested calls that a request causes, at all depths. */
    nestedCalls: number;
    /** Share of the upstream's slot time used by direct requests, 0 to 1. It is 1 for a route of nested requests. */
    directShare: number;
}

/** Limits this node's retries of each route to its share of the retry budget. */
export class RetryBudgets {
    private readonly routes = new Map<string, RouteBudget>();
    private nodeCount = 1;

    constructor(private readonly options: RetryBudgetOptions, private readonly readNowMs: () => number) {}

    /** Updates the number of nodes that share the retry budget. */
    updateNodeCount(nodeCount: number): void {
        this.nodeCount = Math.max(1, nodeCount);
        this.routes.forEach(routeBudget => this.updateBudget(routeBudget));
    }

    /** Records the first attempt of a request. It accrues retries, or consumes one if it is nested in a retry. */
    recordRequest(route: string, isNestedInRetry: boolean): void {
        const { budget } = this.getBudget(route);
        if (isNestedInRetry) {
            budget.recordNestedRetry(this.readNowMs());
            return;
        }
        budget.recordRequest(this.readNowMs());
    }

    /** Updates this node's share of a route's retry budget from the load report on a successful answer. */
    recordAnswer(route: string, nested: boolean, report: LoadReport): void {
        const routeBudget = this.getBudget(route);
        routeBudget.nestedCalls += nestedCallsWeight * (report.nestedCalls - routeBudget.nestedCalls);
        routeBudget.directShare = nested ? 1 : report.directShare;
        this.updateBudget(routeBudget);
    }

    /** Consumes one retry of a route. Returns false if none is left, or if a nested request would need the reserve. */
    tryConsume(route: string, nested: boolean): boolean {
        return this.getBudget(route).budget.tryConsume(this.readNowMs(), nested ? directReserveShare : 0);
    }

    private updateBudget({ budget, ...stats }: RouteBudget): void {
        budget.updateShare(computeRetryBudgetShare(this.options, this.nodeCount, stats));
    }

    private getBudget(route: string): RouteBudget {
        const existing = this.routes.get(route);
        if (existing) {
            return existing;
        }
        const stats = { nestedCalls: initialNestedCalls, directShare: 1 };
        const share = computeRetryBudgetShare(this.options, this.nodeCount, stats);
        const created: RouteBudget = { budget: new RetryBudget(share, this.readNowMs()), ...stats };
        this.routes.set(route, created);
        return created;
    }
}

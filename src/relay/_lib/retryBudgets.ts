import {
    computeRetryReserve,
    computeRetryValue,
    type NestedRetryCandidate,
    retryValueCount,
} from "../../decisions/computeRetryReserve";
import { computeRetryBudgetShare, RetryBudget, type RetryBudgetOptions } from "../../decisions/retryBudget";
import { type LoadReport } from "../types";

/** Weight of one answer in the moving mean of the number of nested calls. */
const nestedCallsWeight = 0.02;
/** Weight of one nested request in the moving shares by value. */
const valueShareWeight = 0.02;
/** Initial mean number of nested calls of a route, before answers report it. */
const initialNestedCalls = 3;

interface RouteBudget {
    readonly budget: RetryBudget;
    /** Moving mean of the number of nested calls that a request causes, at all depths. */
    nestedCalls: number;
    /** Moving shares of the nested requests by the value of a retry; see `computeRetryValue`. */
    readonly valueShares: number[];
    /** Share of the upstream's slot time used by direct requests, 0 to 1. It is 1 for a route of nested requests. */
    directShare: number;
}

/** A request on a route, which may be retried. */
export interface BudgetedRequest extends NestedRetryCandidate {
    readonly nested: boolean;
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
    recordRequest(route: string, request: BudgetedRequest, isNestedInRetry: boolean): void {
        const { budget, valueShares } = this.getBudget(route);
        if (request.nested) {
            const ownValue = computeRetryValue(request);
            valueShares.forEach((share, value) => {
                valueShares[value] = share + valueShareWeight * ((value === ownValue ? 1 : 0) - share);
            });
        }
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

    /** Consumes one retry of a route. Returns false if none is left, or if others need the rest more. */
    tryConsume(route: string, request: BudgetedRequest): boolean {
        const { budget, valueShares } = this.getBudget(route);
        const reserve = request.nested ? computeRetryReserve(computeRetryValue(request), valueShares) : 0;
        return budget.tryConsume(this.readNowMs(), reserve);
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
        const created: RouteBudget = {
            budget: new RetryBudget(share, this.readNowMs()),
            valueShares: Array.from({ length: retryValueCount }, () => 0),
            ...stats,
        };
        this.routes.set(route, created);
        return created;
    }
}

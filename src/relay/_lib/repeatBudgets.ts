import { type RepeatAllowance, RepeatBudget } from "../../decisions/repeatBudget";

/** Share of the allowance that calls of upstreams leave for requests of callers, which are far fewer. */
const nestedReserve = 0.3;

/** Owns this node's part of the allowance for repeats, by called service. */
export class RepeatBudgets {
    private readonly budgets = new Map<string, RepeatBudget>();
    private nodes = 1;

    constructor(private readonly allowance: RepeatAllowance, private readonly readNowMs: () => number) {}

    /** Takes the number of nodes that divide the allowance. */
    updateNodes(nodes: number): void {
        this.nodes = Math.max(1, nodes);
        this.budgets.forEach(budget => budget.updateNodes(this.nodes));
    }

    /** Records the first sending of a request to a service. */
    recordRequest(service: string): void {
        this.open(service).recordRequest(this.readNowMs());
    }

    /** Takes one repeat to a service; false when none is left. Nested requests leave some for the others. */
    tryTake(service: string, nested: boolean): boolean {
        return this.open(service).tryTake(this.readNowMs(), nested ? nestedReserve : 0);
    }

    private open(service: string): RepeatBudget {
        const existing = this.budgets.get(service);
        if (existing) {
            return existing;
        }
        const budget = new RepeatBudget(this.allowance, this.nodes, this.readNowMs());
        this.budgets.set(service, budget);
        return budget;
    }
}

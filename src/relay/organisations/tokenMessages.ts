/** Messages with which nodes take tokens of quotas from each other and lend their shares. */
import { type LoanTerms, type LoanTicket } from "../../decisions/shareLoans";

/** Tokens that a node asks another one for, and the terms of its loan to that node. */
export interface TokenQuery extends LoanTerms {
    /** Whether the asking node wants its share back. */
    readonly isReclaim: boolean;
    readonly wants: readonly (readonly [organisation: string, count: number])[];
}

/** Answer to a `TokenQuery`. */
export interface TokenAnswer extends LoanTicket {
    /** Whether the answering node has ended the loan, as the query has asked. */
    readonly isReturned: boolean;
    /**
     * For each wanted organisation the number of tokens, and the time until there is one, in milliseconds; a negative
     * time if the answering node can't know whether the quota is exceeded.
     */
    readonly grants: readonly (readonly [count: number, waitMs: number])[];
}

/** Query that lends nothing and wants nothing; its answer shows that the other node responds. */
export const emptyTokenQuery: TokenQuery = {
    ticketMs: 0,
    incarnation: "",
    serial: 0,
    share: 0,
    isFirst: false,
    isReclaim: false,
    wants: [],
};

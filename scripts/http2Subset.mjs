// Stands for node:http2, which undici loads even if no connection may use HTTP/2.
export const constants = {};

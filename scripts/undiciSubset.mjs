// Exports only the undici classes that the relay uses. The package's index would also load fetch, WebSocket and caches.
import request from "../node_modules/undici/lib/api/api-request.js";
import Client from "../node_modules/undici/lib/dispatcher/client.js";
import Dispatcher from "../node_modules/undici/lib/dispatcher/dispatcher.js";
import Pool from "../node_modules/undici/lib/dispatcher/pool.js";

// The package's index also adds this method to the prototype.
Dispatcher.prototype.request = request;

export { Client, Pool };

"""Announce a target to the proxy on its host, drain it and withdraw it."""

import json

import eventlet
import urllib3

RENEWAL_SECONDS = 1.0
ANNOUNCE_TIMEOUT_SECONDS = 2.0


class Announcer:
    """Keep the target announced at its local proxy."""

    def __init__(self, *, proxy, service, address, port, slots, incarnation):
        """Announce `address:port` at the proxy's target interface."""
        self._url = f"http://{proxy}/v1/targets"
        self._target_id = f"{service}/{address}:{port}"
        self._body = json.dumps(
            {
                "service": service,
                "address": address,
                "port": port,
                "slots": slots,
                "incarnation": incarnation,
            }
        )
        self._pool = urllib3.PoolManager(
            retries=False, timeout=ANNOUNCE_TIMEOUT_SECONDS
        )

    def run_forever(self):
        """Announce and renew once a second, whether the proxy is up or not."""
        while True:
            self._ask("POST", self._url, self._body)
            eventlet.sleep(RENEWAL_SECONDS)

    def drain(self):
        """Ask for no new work."""
        self._ask("POST", f"{self._url}/{self._target_id}/drain", "{}")

    def leave(self):
        """Withdraw the target."""
        self._ask("DELETE", f"{self._url}/{self._target_id}", None)

    def _ask(self, method, url, body):
        try:
            response = self._pool.request(
                method,
                url,
                body=body,
                headers={"Content-Type": "application/json"},
            )
        except urllib3.exceptions.HTTPError as error:
            print(f"{method} {url}: {error}", flush=True)
            return
        if response.status >= 400:
            print(f"{method} {url}: {response.status}", flush=True)

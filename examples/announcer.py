"""Announce a target to the proxy on its host, drain it and withdraw it."""

import json

import eventlet
import urllib3

RENEWAL_SECONDS = 1.0
ANNOUNCE_TIMEOUT_SECONDS = 2.0


class Announcer:
    """Client of the local proxy's interface for targets."""

    def __init__(
        self,
        *,
        proxy,
        service,
        address,
        port,
        slots,
        incarnation,
        software_version="",
    ):
        """Prepare the announcement of the target at `address:port`.

        `proxy` is the `address:port` of the proxy's interface for targets.
        """
        self._url = f"http://{proxy}/v1/targets"
        self._target_id = f"{service}/{address}:{port}"
        announcement = {
            "service": service,
            "address": address,
            "port": port,
            "slots": slots,
            "incarnation": incarnation,
        }
        if software_version:
            announcement["software_version"] = software_version
        self._body = json.dumps(announcement)
        self._pool = urllib3.PoolManager(
            retries=False, timeout=ANNOUNCE_TIMEOUT_SECONDS
        )

    def run_forever(self, is_enabled=lambda: True):
        """Announce the target, and again every second, even after errors.

        Pauses while `is_enabled()` is false.
        """
        while True:
            if is_enabled():
                self._request("POST", self._url, self._body)
            eventlet.sleep(RENEWAL_SECONDS)

    def drain(self):
        """Stop new requests to the target."""
        self._request("POST", f"{self._url}/{self._target_id}/drain", "{}")

    def withdraw(self):
        """Remove the target from the mesh."""
        self._request("DELETE", f"{self._url}/{self._target_id}", None)

    def _request(self, method, url, body):
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
            answer = response.data.decode(errors="replace")
            print(f"{method} {url}: {response.status} {answer}", flush=True)

"""Answers whose status is none: callers get them neither from the entry of the
provider's platform nor from the product's own."""

import unittest

import support
from notice_bed import HEADERS, NoticeBed
from platform_pair import TwoTargets

# RFC 9110, section 15: three digits, 100 to 599.
ODD = ("000", "099", "600", "999", "0200", "00200", "1000", "2000", "20", "2",
       "-200", "+20", "2e2", "20x", "2 00", "")
EVEN = ("200", "299", "404", "499", "500", "599")
UNSURE = 502  # a target may have run it


class PlatformStatus(TwoTargets):
    def test_odd_status_is_no_answer(self):
        self.open_bed()
        said = [None]

        def handler(request):
            # All in one piece, and byte by byte.
            head = self.one.head(request, "200 OK", "Content-Length: 5\r\n")
            whole = head.replace(b"200 OK", said[0].encode(), 1) + b"whole"
            if request["path"].endswith("slow"):
                return [whole[i:i + 1] for i in range(len(whole))] + ["close"]
            return [whole, "close"]
        for target in (self.one, self.two):
            target.handler = handler
        for status in ODD:
            for reason in ("", " OK"):
                said[0] = status + reason
                for path in ("/safe/x", "/once/x", "/safe/slow"):
                    with self.subTest(status=said[0], path=path):
                        self.assertEqual(self.send(path=path)[0], UNSURE)
        for status in EVEN:
            said[0] = status + " Reason"
            for path in ("/safe/x", "/safe/slow"):
                with self.subTest(status=status, path=path):
                    self.assertEqual(self.send(path=path)[0], int(status))

    def test_interim_answer_does_not_hide_an_odd_status(self):
        self.open_bed()
        for target in (self.one, self.two):
            target.handler = lambda r, t=target: [
                b"HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 103 Early\r\n\r\n" +
                t.head(r, "0200 OK", "Content-Length: 5\r\n") + b"whole",
                "close"]
        self.assertEqual(self.send()[0], UNSURE)
        for target in (self.one, self.two):
            target.handler = lambda r, t=target: [
                b"HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 103 Early\r\n\r\n" +
                t.answer(r)]
        self.assertEqual(self.send()[:2], (200, b"whole"))


class ProductStatus(NoticeBed):
    ENTRIES = 1

    def test_odd_status_is_no_answer(self):
        said = [None]

        def answer(handler):
            handler.wfile.write((
                "HTTP/1.1 %s\r\nX-Target: x\r\nContent-Length: 5\r\n"
                "Connection: close\r\n\r\nwhole" % said[0]).encode())
            handler.close_connection = True
        for target in (self.a, self.b):
            target.answer = answer
        for status in ODD:
            said[0] = status + " OK"
            with self.subTest(status=status):
                got = support.request(
                    self.entry.address, "POST", "/x", dict(HEADERS)).status
                # Its own failure, never the target's status.
                self.assertIn(got, (502, 503, 504))
        said[0] = "404 OK"
        self.assertEqual(support.request(
            self.entry.address, "POST", "/x", dict(HEADERS)).status, 404)


if __name__ == "__main__":
    unittest.main()

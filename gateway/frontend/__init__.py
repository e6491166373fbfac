"""The server side: HTTP/1.1 connections of clients, their requests and their responses."""
